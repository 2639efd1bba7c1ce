package granting

import "spanrill"

const (
	// minSpreadRetry is the shortest retry time. In about this time a tenth of the running requests
	// end.
	minSpreadRetry spanrill.Millis = 300
	// maxSpreadRetry is the longest retry time of callers that engines refused.
	maxSpreadRetry = 2 * spanrill.Second
	// maxShareRetry is the longest retry time of callers that this daemon refuses by itself. The
	// granting daemon may answer again within a second.
	maxShareRetry spanrill.Millis = 1500
	// maxSlowRetry is the longest retry time while neither fleet nor load is known: all callers may
	// return at once then.
	maxSlowRetry = 5 * spanrill.Second
	// retriesInTime is how many waits of the retry time fit into the time that a caller still waits,
	// so that it can be refused again.
	retriesInTime = 3
	// maxRetryAfter is the longest retry time that is taken from a granting daemon.
	maxRetryAfter = 10 * spanrill.Second
)

// refuse returns a refusal for lack of room. The retry time is a random one if it is not positive.
func (c *Client) refuse(r *spanrill.RoomRequest, retryAfter spanrill.Millis, format string, args ...any) *spanrill.Refusal {
	if retryAfter <= 0 {
		retryAfter = c.spreadRetry(r, maxSpreadRetry)
	}
	return spanrill.NewRefusal(spanrill.ReasonChainsFull, format, args...).WithRetryAfter(min(retryAfter, maxRetryAfter))
}

// spreadRetry returns a random retry time from minSpreadRetry to longest that leaves the caller time
// to be refused again. It returns minSpreadRetry if returns are not planned.
func (c *Client) spreadRetry(r *spanrill.RoomRequest, longest spanrill.Millis) spanrill.Millis {
	longest = min(longest, r.Remaining/retriesInTime)
	if !c.planReturns || longest <= minSpreadRetry {
		return minSpreadRetry
	}
	return minSpreadRetry + spanrill.Millis(c.random()*float64(longest-minSpreadRetry+1))
}
