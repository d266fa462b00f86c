package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

const (
	operatorTimeout = 5 * time.Second
	maxReportBytes  = 64 << 20
)

// operatorFlags are the flags of commands that query the operators' interface of
// nodes.
type operatorFlags struct {
	addresses []string
	key       string
	json      bool
	tls       bool
	authority string
}

// addOptional adds the flags for nodes' addresses, their key and TLS, none of
// them required.
func (f *operatorFlags) addOptional(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.addresses, "node", nil, "operators' address of any node, IP:port; several, separated by commas, are tried in turn")
	cmd.Flags().StringVar(&f.key, "key", "", "the nodes' operator_key")
	cmd.Flags().BoolVar(&f.tls, "tls", false, "connect with TLS; the nodes have a certificate that this machine trusts")
	cmd.Flags().StringVar(&f.authority, "authority", "", "PEM file with the authority that signs the nodes' certificates; implies --tls")
}

// add adds the flags of addOptional, with the address and the key required, and
// --json.
func (f *operatorFlags) add(cmd *cobra.Command) {
	f.addOptional(cmd)
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	_ = cmd.MarkFlagRequired("node")
	_ = cmd.MarkFlagRequired("key")
}

// NodeError reports that a node did not answer an operator's query.
type NodeError struct {
	// Address is the address of the node's operators' interface.
	Address string
	// Remedy says what went wrong and what to do about it.
	Remedy string
}

// Error implements error.
func (e *NodeError) Error() string { return "node " + e.Address + ": " + e.Remedy }

// client returns an HTTP client that trusts the given authority, and the scheme
// of the nodes' URLs.
func (f *operatorFlags) client() (*http.Client, string, error) {
	if f.authority == "" {
		if f.tls {
			return http.DefaultClient, "https", nil
		}
		return http.DefaultClient, "http", nil
	}
	raw, err := os.ReadFile(f.authority)
	if err != nil {
		return nil, "", errors.Wrap(err, "--authority cannot be read: check its path and permissions")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, "", errors.Errorf("--authority %s holds no certificate: give a PEM file", f.authority)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Transport: transport}, "https", nil
}

// get decodes the JSON report at a path from the first node that answers into
// out. If none does, the error joins the errors of all nodes.
func (f *operatorFlags) get(ctx context.Context, path string, out any) error {
	client, scheme, err := f.client()
	if err != nil {
		return err
	}
	var failures []string
	for _, address := range f.addresses {
		err := f.getFrom(ctx, client, scheme, address, path, out)
		if err == nil {
			return nil
		}
		failures = append(failures, err.Error())
	}
	return errors.New(strings.Join(failures, "; "))
}

// getFrom decodes the JSON report at a path of one node into out.
func (f *operatorFlags) getFrom(ctx context.Context, client *http.Client, scheme, address, path string, out any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &NodeError{address, "is not IP:port: give the operator_listen of a node"}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+address+path, nil)
	if err != nil {
		return &NodeError{address, err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := client.Do(req)
	if err != nil {
		return &NodeError{address, "does not answer (" + err.Error() + "): try another node"}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return &NodeError{address, "answered " + resp.Status + ": if it has a certificate, give --tls or --authority"}
	case http.StatusUnauthorized:
		return &NodeError{address, "refuses the key: give the operator_key of its settings as --key"}
	default:
		return &NodeError{address, "answered " + resp.Status + ": is this its operator_listen, and the same version of the program?"}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out); err != nil {
		return &NodeError{address, "sent an answer that cannot be read (" + err.Error() + "): use the same version of the program"}
	}
	return nil
}

// printJSON prints v as indented JSON.
func printJSON(cmd *cobra.Command, v any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// newExplain returns the command that prints the recorded steps of a request.
func newExplain() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show what the fleet did with a request, by its X-Request-Id",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e node.Explanation
			if err := f.get(cmd.Context(), "/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd, e)
			}
			return printExplanation(cmd.OutOrStdout(), e)
		},
	}
	f.add(cmd)
	return cmd
}

// printExplanation prints the steps of a request with the time since the first
// one. It returns an error if there are no steps.
func printExplanation(w io.Writer, e node.Explanation) error {
	for _, id := range e.Silent {
		fmt.Fprintf(w, "node %s did not answer: its steps are missing\n", id)
	}
	if len(e.Steps) == 0 {
		return errors.Errorf("no node knows request %s: it is too old, its node was replaced, or the ID is mistyped", e.Request)
	}
	start := e.Steps[0].At
	fmt.Fprintf(w, "request %s, first seen %s\n", e.Request, start.Format(time.RFC3339))
	for _, s := range e.Steps {
		fmt.Fprintf(w, "%10s  %-12s %s\n", "+"+s.At.Sub(start).Round(time.Millisecond).String(), s.Node, s.Text)
	}
	return nil
}
