// Package model is a stand-in for a language model. Its answers reveal whether it was run correctly.
//
// Each layer keeps a hash over all activations that it has processed, in place of a KV cache. The
// activation of each position passes through all layers in order. A layer that is skipped, run
// twice or run out of order, and a token that is lost or repeated, therefore changes all text that
// follows.
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

// Spec identifies a model. The engines exchange it as JSON under its Go field names.
type Spec struct {
	Name    string
	Version string
	Layers  int
}

// Vocabulary is the number of different tokens.
const Vocabulary = 4096

// EndToken is the token that ends an answer.
const EndToken uint32 = 0

// KV is the state of one layer: a hash over its inputs at all positions so far.
type KV uint64

// Activation is the output of a layer at one position, and the input of the next layer.
type Activation uint64

// hash returns a hash of three numbers.
func hash(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}

// RunLayer runs one position through a layer: it updates the state of the layer and returns the
// activation for the next one.
func RunLayer(layer int, kv *KV, in Activation) Activation {
	*kv = KV(hash(uint64(*kv), uint64(in), uint64(layer)))
	return Activation(hash(uint64(in), uint64(*kv), uint64(layer)+1<<32))
}

// RunLayers runs one position through consecutive layers, starting with r.From, and returns the
// activation after the last one. kv holds the state of each layer to run; its length, not r.To,
// determines how many are run.
func RunLayers(r spanrill.LayerRange, kv []KV, in Activation) Activation {
	for i := range kv {
		in = RunLayer(r.From+i, &kv[i], in)
	}
	return in
}

// Embed returns the input of the first layer for a word.
func Embed(s Spec, word string) Activation {
	return Activation(xxhash.Sum64String(s.Name + "\x00" + s.Version + "\x00" + word))
}

// Sample returns the token at an index of the answer. It depends on the output of the last layer, the
// seed and the index.
func Sample(out Activation, seed uint64, index int) uint32 {
	return uint32(hash(uint64(out), seed, uint64(index)) % Vocabulary)
}

var syllables = [16]string{
	"ba", "do", "fe", "gu", "hi", "jo", "ka", "li",
	"mo", "nu", "pe", "ra", "si", "to", "ve", "zu",
}

// TokenWord returns the word of a token.
func TokenWord(token uint32) string {
	return syllables[token>>8&15] + syllables[token>>4&15] + syllables[token&15]
}

// SplitWords returns the words of a prompt.
func SplitWords(prompt string) []string {
	return strings.Fields(prompt)
}

// Answer returns the tokens of a whole answer, at most maxTokens, computed without a chain. Tests
// compare the answers of chains with it.
func Answer(s Spec, prompt string, seed uint64, maxTokens int) []uint32 {
	allLayers := spanrill.LayerRange{From: 0, To: s.Layers}
	kv := make([]KV, s.Layers)
	var out Activation
	for _, w := range SplitWords(prompt) {
		out = RunLayers(allLayers, kv, Embed(s, w))
	}
	var tokens []uint32
	for i := range maxTokens {
		t := Sample(out, seed, i)
		if t == EndToken {
			return tokens
		}
		tokens = append(tokens, t)
		out = RunLayers(allLayers, kv, Embed(s, TokenWord(t)))
	}
	return tokens
}

// Text returns the text of an answer as a caller receives it.
func Text(tokens []uint32) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(TokenText(t))
	}
	return b.String()
}

// TokenText returns the text of one token in a stream.
func TokenText(t uint32) string { return " " + TokenWord(t) }
