// Package admission decides which requests may start, and when.
//
// # Usage
//
//	release, refusal := admission.Admit(ctx, grant, model, maxTokens)
//	if refusal != nil {
//		return refusal
//	}
//	defer release(tokens)
package admission

import (
	"context"

	"spanrill"
	"spanrill/state/config"
)

// Open admits every request at once. It is a baseline to measure against.
type Open struct{}

// Admit admits the request.
func (Open) Admit(context.Context, *config.Grant, *config.ModelGrant, int) (func(int), *spanrill.Refusal) {
	return func(int) {}, nil
}
