package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/policy"
	"gapgap/internal/service/hosted"
)

// Exit codes of policy propose and revert beside those of all programs. Taken is 0.
const (
	exitDropped = 4
	exitUnknown = 5 // ask again by the id
)

func policies() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{Use: "policy", Short: "The one policy of a fleet of front doors"}
	c.PersistentFlags().StringVar(&socket, "socket", "", "the `path` of a front door's control socket, fleet.control in its file")
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	get := func(ctx context.Context, path string, to any) error {
		body, err := call(ctx, socket, http.MethodGet, path)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, to); err != nil {
			return fmt.Errorf("the door's answer: %w", err)
		}
		return nil
	}
	show := &cobra.Command{Use: "show [VERSION]", Short: "Print the present policy, or that of a version", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			doc, err := document(c.Context(), socket, slices.Concat(args, []string{""})[0])
			if err == nil {
				_, err = c.OutOrStdout().Write(doc)
			}
			return err
		}}
	var file string
	diff := &cobra.Command{Use: "diff -f FILE", Short: "Say what a file would change of the present policy", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			next, err := read(file)
			if err != nil {
				return err
			}
			now, err := document(c.Context(), socket, "")
			if err != nil {
				return err
			}
			return difflib.WriteUnifiedDiff(c.OutOrStdout(), difflib.UnifiedDiff{A: difflib.SplitLines(string(now)), B: difflib.SplitLines(string(next)),
				FromFile: "present", ToFile: file, Context: 3})
		}}
	diff.Flags().StringVarP(&file, "file", "f", "", "the policy's `file`; - for standard input")
	var p proposal
	propose := &cobra.Command{Use: "propose -f FILE", Short: "Have a policy take hold at all front doors, or at none", Args: cobra.NoArgs,
		Long: "Have a policy take hold at all front doors, or at none. Exit code 0: it was taken; 4: it was dropped, and why is printed; 5: it is not known\n" +
			"yet which, ask again with the same --id (the same id never takes hold twice).",
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := read(p.file)
			if err != nil {
				return err
			}
			return p.send(c, socket, asJSON, doc)
		}}
	p.flags(propose)
	propose.Flags().StringVarP(&p.file, "file", "f", "", "the policy's `file`; - for standard input")
	replace := &cobra.Command{Use: "replace-voter NAME", Short: "Have a voter whose disk was lost for good vote again with its new, empty one", Args: cobra.ExactArgs(1),
		Long: "Have a voter whose disk was lost for good vote again with its new, empty one. The voter's process must run, and a majority of the voters\n" +
			"must answer. Only one is replaced at a time; asked again, it says whether it is done.",
		RunE: func(c *cobra.Command, args []string) error {
			_, err := call(c.Context(), socket, http.MethodPost, "/policy/voter?name="+url.QueryEscape(args[0]))
			return err
		}}
	var to uint64
	var r proposal
	revert := &cobra.Command{Use: "revert --to VERSION", Short: "Propose the policy of an earlier version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if to == 0 {
				return &cli.Error{Code: cli.Misused, Err: errors.New("--to is missing")}
			}
			doc, err := document(c.Context(), socket, strconv.FormatUint(to, 10))
			if err != nil {
				return err
			}
			if r.note == "" {
				r.note = fmt.Sprintf("back to version %d", to)
			}
			return r.send(c, socket, asJSON, doc)
		}}
	r.flags(revert)
	revert.Flags().Uint64Var(&to, "to", 0, "the `version`")
	status := &cobra.Command{Use: "status [ID]", Short: "Say by which version the door goes, and what is being decided; or what became of a change", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				var res hosted.PolicyResult
				if err := get(c.Context(), "/policy/change?id="+url.QueryEscape(args[0]), &res); err != nil {
					return err
				}
				return told(c.OutOrStdout(), asJSON, &res)
			}
			var st hosted.PolicyStatus
			if err := get(c.Context(), "/policy/status", &st); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(&st)
			}
			return statusTable(c.OutOrStdout(), &st)
		}}
	history := &cobra.Command{Use: "history", Short: "Say who changed the policy when, and what became of it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var past []policy.Outcome
			if err := get(c.Context(), "/policy/history", &past); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(past)
			}
			return historyTable(c.OutOrStdout(), past)
		}}
	forget := &cobra.Command{Use: "forget NAME", Short: "Have changes not wait for a front door that is known to be off", Args: cobra.ExactArgs(1),
		Long: "Have changes not wait for a front door that is known to be off. One that only can't be reached may still decide by an old version: then this\n" +
			"breaks the promise. A door that is heard of is not forgotten; one that comes back joins again.",
		RunE: func(c *cobra.Command, args []string) error {
			_, err := call(c.Context(), socket, http.MethodPost, "/policy/forget?name="+url.QueryEscape(args[0]))
			return err
		}}
	c.AddCommand(replace, show, diff, propose, status, history, revert, forget)
	return c
}

func read(file string) ([]byte, error) {
	switch file {
	case "":
		return nil, &cli.Error{Code: cli.Misused, Err: errors.New("--file is missing")}
	case "-":
		return io.ReadAll(io.LimitReader(os.Stdin, policy.MaxDocumentBytes+1))
	}
	return os.ReadFile(file)
}

func document(ctx context.Context, socket, version string) ([]byte, error) {
	return call(ctx, socket, http.MethodGet, "/policy/show?version="+url.QueryEscape(version))
}

// proposal is what propose and revert have in common.
type proposal struct {
	file, id, mode, base, note string
	wait                       time.Duration
}

func (p *proposal) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.id, "id", "", "the change's `id`, to ask again by; left out: one by chance, which is printed")
	c.Flags().StringVar(&p.mode, "mode", "", "wait or fence; left out: the fleet's")
	c.Flags().StringVar(&p.base, "base", "", "the `version` that is changed; left out: the present one")
	c.Flags().StringVar(&p.note, "note", "", "a note for the history")
	c.Flags().DurationVar(&p.wait, "wait", time.Minute, "how long to wait for the outcome")
}

func (p *proposal) send(c *cobra.Command, socket string, asJSON bool, doc []byte) error {
	if p.id == "" {
		var b [8]byte
		rand.Read(b[:])
		p.id = hex.EncodeToString(b[:])
	}
	q := url.Values{"id": {p.id}, "wait": {p.wait.String()}}
	for k, v := range map[string]string{"mode": p.mode, "base": p.base, "note": p.note} {
		if v != "" {
			q.Set(k, v)
		}
	}
	if u, err := user.Current(); err == nil {
		q.Set("who", u.Username[:min(len(u.Username), policy.MaxIDBytes)])
	}
	body, err := callFor(c.Context(), socket, http.MethodPost, "/policy/propose?"+q.Encode(), bytes.NewReader(doc), p.wait+callWithin)
	if err != nil {
		return err
	}
	var res hosted.PolicyResult
	if err := json.Unmarshal(body, &res); err != nil {
		return fmt.Errorf("the door's answer: %w", err)
	}
	return told(c.OutOrStdout(), asJSON, &res)
}

// told prints what became of a change, and returns its exit code.
func told(out io.Writer, asJSON bool, r *hosted.PolicyResult) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	}
	switch {
	case r.Known && r.Committed:
		if !asJSON {
			fmt.Fprintf(out, "%s: taken, version %d\n", r.ID, r.Version)
		}
		return nil
	case r.Known:
		return &cli.Error{Code: exitDropped, Err: fmt.Errorf("%s: dropped: %s", r.ID, r.Reason)}
	case r.WaitingFor != "":
		return &cli.Error{Code: exitUnknown, Err: fmt.Errorf("%s: not known yet; it waits: %s", r.ID, r.WaitingFor)}
	}
	return &cli.Error{Code: exitUnknown, Err: fmt.Errorf("%s: not known yet, or no such change", r.ID)}
}

func statusTable(out io.Writer, s *hosted.PolicyStatus) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "door\t%s\ngoes by\tversion %d, %s\ndecides\t%t\n", s.Name, s.Version.Number, s.Version.Hash.String()[:12], s.Decides)
	if s.Current == nil {
		fmt.Fprintf(t, "present\tnot known: no majority of the voters answers\n")
		return t.Flush()
	}
	fmt.Fprintf(t, "present\tversion %d, %s\nmode\t%s\nleader\t%s\nmay decide\t%s\n", s.Current.Number, s.Current.Hash.String()[:12], s.Mode, s.Leader, strings.Join(s.Participants, " "))
	if s.Pending != nil {
		fmt.Fprintf(t, "change\t%s by %s, %s\nwaits\t%s\n", s.Pending.ID, s.Pending.Author, s.Pending.Mode, s.WaitingFor)
	}
	return t.Flush()
}

func historyTable(out io.Writer, past []policy.Outcome) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "VERSION\tID\tWHO\tWHEN\tMODE\tLOCKED\tFENCED\tSWITCHED WITHIN\tWHAT\n")
	for _, o := range slices.Backward(past) {
		version, what := "-", "dropped: "+o.Reason
		if o.Committed {
			version, what = strconv.FormatUint(o.Version, 10), "taken"
		}
		if o.Change.Note != "" {
			what += " (" + o.Change.Note + ")"
		}
		switched := ""
		if len(o.SwitchedAt) > 0 {
			first, last := int64(0), int64(0)
			for _, at := range o.SwitchedAt {
				if first == 0 || at < first {
					first = at
				}
				last = max(last, at)
			}
			switched = fmt.Sprintf("%d ms, %d doors", last-first, len(o.SwitchedAt))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", version, o.Change.ID, o.Change.Author, time.UnixMilli(o.DecidedAt).UTC().Format(time.DateTime), o.Change.Mode,
			len(o.Locked), len(o.Fenced), switched, what)
	}
	return t.Flush()
}
