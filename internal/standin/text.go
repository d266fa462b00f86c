package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	qualityMark    = "q="
	defaultQuality = 0.9
	bytesPerToken  = 4
)

// Token returns the text of the index-th token that a version gives to a
// prompt. The first token carries the version's quality.
func Token(t config.Target, quality float64, prompt string, seed uint64, index int) string {
	if index == 0 {
		return fmt.Sprintf("%s%.2f ", qualityMark, quality)
	}
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%s", t, seed, index, prompt))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// AnswerTokens returns how many tokens a prompt's answer has.
func AnswerTokens(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return 1
	}
	half := maxTokens / 2
	return half + int(xxhash.Sum64String(prompt)%uint64(maxTokens-half)) + 1
}

// Answer returns the whole undisturbed answer.
func Answer(t config.Target, quality float64, prompt string, seed uint64, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerTokens(prompt, maxTokens) {
		b.WriteString(Token(t, quality, prompt, seed, i))
	}
	return b.String()
}

// PassChance reads the chance that an answer passes its rating from the
// answer's own mark.
func PassChance(answer string) float64 {
	rest, ok := strings.CutPrefix(answer, qualityMark)
	if !ok {
		return defaultQuality
	}
	mark, _, _ := strings.Cut(rest, " ")
	q, err := strconv.ParseFloat(mark, 64)
	if err != nil {
		return defaultQuality
	}
	return q
}

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
