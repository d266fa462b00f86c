package forward

import "time"

// Cascade decides whether an answer of a small model is taken, by the model's
// own confidence in it.
type Cascade struct{}

// NewCascade returns a cascade.
func NewCascade() *Cascade { return &Cascade{} }

// acceptedConfidence is the confidence, 0 to 100, from which a small model's
// answer is taken.
const acceptedConfidence = 55

// Accept tells whether an answer with the given confidence is passed on, or a
// larger model asked.
func (c *Cascade) Accept(confidence float64, _ *Request, _ time.Time) bool {
	return confidence >= acceptedConfidence
}
