package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	qualityPrefix  = "q="
	defaultQuality = 0.9
	bytesPerToken  = 4
)

// Token returns the text of the index-th token of a version's answer to a
// prompt. The first token states the version's quality.
func Token(t config.Target, quality float64, prompt string, seed uint64, index int) string {
	if index == 0 {
		return fmt.Sprintf("%s%.2f ", qualityPrefix, quality)
	}
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%s", t, seed, index, prompt))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// AnswerTokens returns the number of tokens of the answer to a prompt. It
// depends on nothing but the prompt and maxTokens.
func AnswerTokens(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return 1
	}
	half := maxTokens / 2
	return half + int(xxhash.Sum64String(prompt)%uint64(maxTokens-half)) + 1
}

// Answer returns the complete text of a version's answer to a prompt, as an
// engine streams it when nothing fails.
func Answer(t config.Target, quality float64, prompt string, seed uint64, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerTokens(prompt, maxTokens) {
		b.WriteString(Token(t, quality, prompt, seed, i))
	}
	return b.String()
}

// PassProbability returns the probability that an answer passes its rating: the
// quality that its first token states, or the default if it states none.
func PassProbability(answer string) float64 {
	rest, ok := strings.CutPrefix(answer, qualityPrefix)
	if !ok {
		return defaultQuality
	}
	number, _, _ := strings.Cut(rest, " ")
	quality, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return defaultQuality
	}
	return quality
}

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
