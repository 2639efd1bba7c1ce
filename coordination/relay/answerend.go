package relay

import (
	"context"

	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// readAnswer reads the whole body of an upstream's answer. The request releases its memory at its end,
// unless the body is passed on.
func (q *request) readAnswer(ctx context.Context, answer *httpcall.Answer, u *fleet.Upstream) (*answerBody, error) {
	memory := q.relay.answerMemory
	body := &answerBody{hold: memoryHold{memory: memory}}
	q.bodies = append(q.bodies, body)
	var err error
	body.Segments, err = answer.ReadSegments(memory.maxAnswer, func(size int) error { return body.hold.grow(ctx, size) })
	if err == nil {
		err = q.checkEnd(answer, u)
	}
	if err != nil {
		body.hold.release()
		return nil, err
	}
	body.hold.settle(body.Len())
	return body, nil
}

// releaseBodies releases the memory of the answers that are not passed on.
func (q *request) releaseBodies() {
	for _, body := range q.bodies {
		if !body.passedOn {
			body.hold.release()
		}
	}
}

// checkEnd returns an error if an answer whose body has been read to its end may be incomplete
// nevertheless: it has neither a length nor chunks, and its upstream's process has ended. An upstream that
// is leaving ends after it has answered.
func (q *request) checkEnd(answer *httpcall.Answer, u *fleet.Upstream) error {
	if !answer.EndsWithConnection() || u.Leaving() {
		return nil
	}
	q.relay.Prober.CheckListeningSince(context.WithoutCancel(q.ctx), u, q.relay.Clock.Now()-1)
	if u.Ended() {
		return httpcall.ErrUpstreamEnded
	}
	return nil
}
