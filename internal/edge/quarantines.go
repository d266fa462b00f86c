package edge

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// ErrNotQuarantined is returned for an ID that the store holds no quarantine of. List the
// quarantines to see the IDs.
var ErrNotQuarantined = errors.New("nothing with this ID is quarantined: list the quarantines")

// QuarantineID returns the ID by which operators name a quarantine: that of the prompt
// part as callers send it, or the fingerprint of a request.
func QuarantineID(e wire.Suspect) string {
	if e.Part != "" {
		return e.Part
	}
	return strconv.FormatUint(e.Fingerprint, 16)
}

// ListQuarantines returns the quarantines that the store holds, ended ones included.
func ListQuarantines(ctx context.Context, s gossip.Store) ([]wire.Suspect, error) {
	rows, _, err := s.Read(ctx, tableSystem)
	if err != nil {
		return nil, errors.Wrap(err, "read quarantines")
	}
	var list []wire.Suspect
	for _, r := range rows {
		var e wire.Suspect
		if strings.HasPrefix(r.Key, quarantineKeyPrefix) && json.Unmarshal(r.Data, &e) == nil {
			list = append(list, e)
		}
	}
	return list, nil
}

// LiftQuarantine removes a quarantine from the store, on which all nodes lift it.
func LiftQuarantine(ctx context.Context, s gossip.Store, id string) error {
	list, err := ListQuarantines(ctx, s)
	if err != nil {
		return err
	}
	for _, e := range list {
		if QuarantineID(e) == id {
			return errors.Wrap(s.Remove(ctx, tableSystem, quarantineKey(e)), "remove quarantine")
		}
	}
	return ErrNotQuarantined
}

func quarantineKey(e wire.Suspect) string {
	return quarantineKeyPrefix + strconv.FormatUint(e.Fingerprint, 16)
}
