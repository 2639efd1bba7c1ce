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

// resumePoint is the content of the id of a server-sent event. It lets any daemon resume a stream
// whose daemon has stopped: the caller sends the same body again with the id in Last-Event-ID. The
// answer is generated again from the start with the same seed, and the tokens that the caller
// already has are skipped.
type resumePoint struct {
	seed        uint64
	tokensSent  int    // how many tokens the caller has
	requestHash uint64 // hash of client account, path and body
}

const signatureLen = 16 // hex digits of the signature

// sign returns the signature of the resume point.
func (p resumePoint) sign(secret string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = fmt.Fprintf(mac, "resume %x %d %x", p.seed, p.tokensSent, p.requestHash)
	return hex.EncodeToString(mac.Sum(nil))[:signatureLen]
}

// format returns the event id: seed, token count and signature.
func (p resumePoint) format(secret string) string {
	return fmt.Sprintf("%x.%d.%s", p.seed, p.tokensSent, p.sign(secret))
}

// hashRequest returns the hash that binds event ids to a request.
func (in *inference) hashRequest(raw []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(in.grant.Account() + "\x00" + in.path + "\x00")
	_, _ = hash.Write(raw)
	return hash.Sum64()
}

// eventID returns the id of the event after which the caller has the given number of tokens.
func (in *inference) eventID(tokens int) string {
	p := in.resumeAt
	p.tokensSent = tokens
	return p.format(in.server.ResumeSecret)
}

// parseResume sets where the stream resumes from Last-Event-ID, or returns why the id is refused.
func (in *inference) parseResume(raw []byte) *spanrill.Refusal {
	in.resumeAt = resumePoint{seed: in.request.Seed, requestHash: in.hashRequest(raw)}
	id := string(in.ctx.Request.Header.Peek(HeaderLastEventID))
	if id == "" {
		return nil
	}
	p := resumePoint{requestHash: in.resumeAt.requestHash}
	if !p.parse(id, in.server.ResumeSecret) {
		return fieldRefusal(HeaderLastEventID, "the event id does not belong to this request")
	}
	in.request.Seed, in.resumeAt.seed, in.skipTokens = p.seed, p.seed, p.tokensSent
	return nil
}

// parse sets p from an event id and reports whether the id is well-formed and its signature valid.
// The signature covers the request hash, which the caller must set first.
func (p *resumePoint) parse(id, secret string) bool {
	fields := strings.Split(id, ".")
	if len(fields) != 3 {
		return false
	}
	seed, err := strconv.ParseUint(fields[0], 16, 64)
	if err != nil {
		return false
	}
	tokens, err := strconv.Atoi(fields[1])
	if err != nil || tokens < 0 {
		return false
	}
	p.seed, p.tokensSent = seed, tokens
	return hmac.Equal([]byte(p.sign(secret)), []byte(fields[2]))
}
