package measure

// callerKnowledge tells whose the requests of a trial are.
type callerKnowledge int

const (
	// callersNone takes each organisation for what it is.
	callersNone callerKnowledge = iota
	// callersTold takes all for callers of one organisation and names them,
	// callersHidden does not name them.
	callersTold
	callersHidden
)

// payer names the organisation that a request is charged to.
func (f *fleet) payer(r *simRequest) string {
	if f.policy.callers == callersNone {
		return orgName(r.organisation)
	}
	return "one"
}

// caller names the caller that a request is charged to.
func (f *fleet) caller(r *simRequest) string {
	if f.policy.callers == callersTold {
		return orgName(r.organisation)
	}
	return ""
}
