package measure

// callerKnowledge selects whether the simulated organisations stand for
// organisations or for callers of a single one.
type callerKnowledge int

const (
	// callersUnused treats each one as an organisation.
	callersUnused callerKnowledge = iota
	// callersNamed treats all as callers of one organisation and reports their
	// names to the owners; callersUnnamed does not report the names.
	callersNamed
	callersUnnamed
)

// chargedOrganisation returns the organisation that a request is charged to.
func (f *fleet) chargedOrganisation(r *simRequest) string {
	if f.policy.callerKnowledge == callersUnused {
		return orgName(r.organisation)
	}
	return "one"
}

// chargedCaller returns the caller that a request is charged to, or "".
func (f *fleet) chargedCaller(r *simRequest) string {
	if f.policy.callerKnowledge == callersNamed {
		return orgName(r.organisation)
	}
	return ""
}
