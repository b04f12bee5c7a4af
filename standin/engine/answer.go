package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// tokenBytes is the length of every token of an answer in bytes.
const tokenBytes = 8

// Seed returns the hash that identifies a prompt to a model. For chat, prompt is
// the text that ChatPrompt of package valveslip/engine returns.
func Seed(model cluster.ModelID, prompt string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// AppendToken appends one token of the answer to the prompt with the seed: seven
// hexadecimal digits and a space. index counts the tokens from 0.
func AppendToken(text []byte, seed uint64, index int) []byte {
	const digits = "0123456789abcdef"
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	hash := xxhash.Sum64(key[:])
	for range tokenBytes - 1 {
		text = append(text, digits[hash&0xf])
		hash >>= 4
	}
	return append(text, ' ')
}

// AnswerText returns the complete answer to a prompt, with the given number of
// tokens.
func AnswerText(model cluster.ModelID, prompt string, tokens int) string {
	seed := Seed(model, prompt)
	text := make([]byte, 0, tokens*tokenBytes)
	for i := range tokens {
		text = AppendToken(text, seed, i)
	}
	return string(text)
}
