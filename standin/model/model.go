// Package model is a stand-in for a language model that can tell when it was
// run wrongly.
//
// Each layer keeps a hash over everything that passed through it, as a real
// layer keeps a KV cache. A position's activation is folded through every
// layer in order, so a layer that is skipped, run twice or run out of order,
// and a token that is lost or repeated, changes all text that follows.
//
// # Usage
//
//	words := model.Answer(model.Spec{Name: "advice", Version: "1", Layers: 24}, "why", 7, 16)
package model

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// Spec names a model.
type Spec struct {
	Name    string
	Version string
	Layers  int
}

// Vocabulary is the number of tokens. Token 0 ends an answer.
const Vocabulary = 4096

// EndToken ends an answer.
const EndToken uint32 = 0

// KV is the state of one layer after some positions.
type KV uint64

// Activation is what passes from one layer to the next at one position.
type Activation uint64

func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}

// Layer folds one position into a layer and returns the activation for the
// next layer.
func Layer(layer int, kv *KV, in Activation) Activation {
	*kv = KV(mix(uint64(*kv), uint64(in), uint64(layer)))
	return Activation(mix(uint64(in), uint64(*kv), uint64(layer)+1<<32))
}

// Fold runs one position through the layers of a range. The slice holds one
// KV for each layer of the range.
func Fold(r spanrill.LayerRange, kv []KV, in Activation) Activation {
	for i := range kv {
		in = Layer(r.From+i, &kv[i], in)
	}
	return in
}

// Embed returns the activation of a word at the first layer.
func Embed(s Spec, word string) Activation {
	return Activation(xxhash.Sum64String(s.Name + "\x00" + s.Version + "\x00" + word))
}

// Sample chooses a token from the activation behind the last layer.
func Sample(out Activation, seed uint64, index int) uint32 {
	return uint32(mix(uint64(out), seed, uint64(index)) % Vocabulary)
}

var syllables = [16]string{
	"ba", "do", "fe", "gu", "hi", "jo", "ka", "li",
	"mo", "nu", "pe", "ra", "si", "to", "ve", "zu",
}

// Word returns the text of a token.
func Word(token uint32) string {
	return syllables[token>>8&15] + syllables[token>>4&15] + syllables[token&15]
}

// Split returns the words of a prompt.
func Split(prompt string) []string {
	return strings.Fields(prompt)
}

// Answer computes a whole answer with all layers in one place. It is the
// reference that the answers of chains are compared with.
func Answer(s Spec, prompt string, seed uint64, maxTokens int) []uint32 {
	whole := spanrill.LayerRange{From: 0, To: s.Layers}
	kv := make([]KV, s.Layers)
	var out Activation
	for _, w := range Split(prompt) {
		out = Fold(whole, kv, Embed(s, w))
	}
	var tokens []uint32
	for i := range maxTokens {
		t := Sample(out, seed, i)
		if t == EndToken {
			return tokens
		}
		tokens = append(tokens, t)
		out = Fold(whole, kv, Embed(s, Word(t)))
	}
	return tokens
}

// Text returns tokens as the text that a caller receives.
func Text(tokens []uint32) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(TokenText(t))
	}
	return b.String()
}

// TokenText returns one token as it appears in a stream.
func TokenText(t uint32) string { return " " + Word(t) }
