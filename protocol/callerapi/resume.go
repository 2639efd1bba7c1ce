package callerapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// resumePoint is what the id of a server-sent event says: with it any daemon
// can go on with a stream whose daemon is gone. The caller sends the same body
// again with the id in Last-Event-ID. The answer is generated again with the
// same seed, from the start, and what the caller has is left out.
type resumePoint struct {
	seed  uint64
	index int    // tokens that the caller has
	body  uint64 // hash of account, path and body
}

const resumeTagLen = 16 // hex digits of the tag

func (p resumePoint) sign(secret string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = fmt.Fprintf(mac, "resume %x %d %x", p.seed, p.index, p.body)
	return hex.EncodeToString(mac.Sum(nil))[:resumeTagLen]
}

func (p resumePoint) text(secret string) string {
	return fmt.Sprintf("%x.%d.%s", p.seed, p.index, p.sign(secret))
}

func (in *inference) bodyHash(raw []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(in.grant.Account() + "\x00" + in.path + "\x00")
	_, _ = d.Write(raw)
	return d.Sum64()
}

// eventID returns the id of the event after which the caller has that many
// tokens.
func (in *inference) eventID(tokens int) string {
	p := in.resume
	p.index = tokens
	return p.text(in.server.ResumeSecret)
}

// parseResume reads Last-Event-ID.
func (in *inference) parseResume(raw []byte) *spanrill.Refusal {
	in.resume = resumePoint{seed: in.request.Seed, body: in.bodyHash(raw)}
	id := string(in.ctx.Request.Header.Peek(HeaderLastEventID))
	if id == "" {
		return nil
	}
	p := resumePoint{body: in.resume.body}
	if !p.parse(id, in.server.ResumeSecret) {
		return badField(HeaderLastEventID, "the event id does not belong to this request")
	}
	in.request.Seed, in.resume.seed, in.skip = p.seed, p.seed, p.index
	return nil
}

func (p *resumePoint) parse(id, secret string) bool {
	fields := strings.Split(id, ".")
	if len(fields) != 3 {
		return false
	}
	seed, err := strconv.ParseUint(fields[0], 16, 64)
	if err != nil {
		return false
	}
	index, err := strconv.Atoi(fields[1])
	if err != nil || index < 0 {
		return false
	}
	p.seed, p.index = seed, index
	return hmac.Equal([]byte(p.sign(secret)), []byte(fields[2]))
}
