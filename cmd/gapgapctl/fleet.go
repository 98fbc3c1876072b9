package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/url"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/peer"
	"gapgap/internal/recovery"
	"gapgap/internal/service/hosted"
)

// callWithin bounds a call to a door.
const callWithin = 5 * time.Second

// answerMost bounds what a door's answer may take: a thousand doors as seen by a thousand are some 20 MB.
const answerMost = 64 << 20

func fleet() *cobra.Command {
	var socket string
	c := &cobra.Command{Use: "fleet", Short: "The front doors that a front door knows"}
	c.PersistentFlags().StringVar(&socket, "socket", "", "the `path` of a front door's control socket, fleet.control in its file")
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Say which doors there are, as each door sees it", Args: cobra.NoArgs,
		Long: "Say how the door behind the socket sees each door of its fleet, and how those that answer within a moment see it.\n" +
			"A line with DISAGREE has doors that take it to be there and doors that do not.",
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := call(c.Context(), socket, http.MethodGet, "/fleet/status")
			if err != nil {
				return err
			}
			var v peer.View
			if err := json.Unmarshal(body, &v); err != nil {
				return fmt.Errorf("the door's answer: %w", err)
			}
			if asJSON {
				_, err := c.OutOrStdout().Write(body)
				return err
			}
			return table(c.OutOrStdout(), &v, time.Now())
		}}
	status.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	leave := &cobra.Command{Use: "leave", Short: "Have the door give its share to the others and take none until it is started again", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := call(c.Context(), socket, http.MethodPost, "/fleet/leave")
			return err
		}}
	forget := &cobra.Command{Use: "forget NAME", Short: "Have the door take another one, that does not serve, as gone for good", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, err := call(c.Context(), socket, http.MethodPost, "/fleet/forget?name="+url.QueryEscape(args[0]))
			return err
		}}
	back := &cobra.Command{Use: "recovery", Short: "Say how far the door and the others have come after a start, what they wait for and what was trusted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			own, err := call(c.Context(), socket, http.MethodGet, "/fleet/recovery")
			if err != nil {
				return err
			}
			all, err := call(c.Context(), socket, http.MethodGet, "/fleet/status")
			if err != nil {
				return err
			}
			var r recovered
			if err := errors.Join(json.Unmarshal(own, &r.RecoveryView), json.Unmarshal(all, &r.fleet)); err != nil {
				return fmt.Errorf("the door's answer: %w", err)
			}
			r.Others = map[string]string{}
			for _, d := range r.fleet.Gateways {
				if d.Name != r.Name {
					r.Others[d.Name] = cmp.Or(d.Recovery, "does not answer; it is "+d.State)
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(&r)
			}
			return r.print(c.OutOrStdout())
		}}
	back.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var accept bool
	var lost []string
	recover := &cobra.Command{Use: "recover --accept-loss [--lost NAME]...", Short: "Have the fleet's policy go on by one voter's disk where a majority of the voters' disks is lost for good",
		Long: "Have the fleet's policy go on by the disk of the voter behind the socket where a majority of the voters' disks is lost for good. Changes that only\n" +
			"the lost ones knew of are gone; the version goes up by 1000, and the record stands in policy history. It is refused as long as a majority may still\n" +
			"come: voters that run with an empty disk say so themselves, others are named by --lost, and only if their disks are known to be gone. Afterwards\n" +
			"each of the other voters is started with an empty disk and taken in by policy replace-voter.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !accept {
				return &cli.Error{Code: cli.Misused, Err: errors.New("--accept-loss is missing: changes that only the lost voters knew of are gone for good")}
			}
			q := url.Values{"lost": lost}
			if u, err := user.Current(); err == nil {
				q.Set("who", u.Username)
			}
			_, err := call(c.Context(), socket, http.MethodPost, "/policy/recover?"+q.Encode())
			return err
		}}
	recover.Flags().BoolVar(&accept, "accept-loss", false, "changes that only the lost voters knew of may be lost")
	recover.Flags().StringArrayVar(&lost, "lost", nil, "the `name` of a voter whose disk is known to be gone")
	c.AddCommand(status, leave, forget, back, recover)
	return c
}

// recovered is the form of fleet recovery --json.
type recovered struct {
	hosted.RecoveryView
	Others map[string]string `json:"others"`
	fleet  peer.View
}

func (r *recovered) print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "STEP\tIS\tAFTER\tWHAT\n")
	for _, s := range r.Steps {
		after := ""
		if s.State != recovery.StatePending {
			after = s.Since.Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.Step, s.State, after, s.Detail)
	}
	fmt.Fprintf(t, "\t\t\t\nDOOR\tIS AT\t\t\n")
	for _, d := range r.fleet.Gateways {
		if d.Name != r.Name {
			fmt.Fprintf(t, "%s\t%s\t\t\n", d.Name, r.Others[d.Name])
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, line := range r.Trusted {
		fmt.Fprintln(out, line)
	}
	return nil
}

// call asks a door at its socket.
func call(ctx context.Context, socket, method, path string) ([]byte, error) {
	return callFor(ctx, socket, method, path, nil, callWithin)
}

// callFor is call with a body, and with more time.
func callFor(ctx context.Context, socket, method, path string, body io.Reader, within time.Duration) ([]byte, error) {
	if socket == "" {
		return nil, &cli.Error{Code: cli.Misused, Err: errors.New("--socket is missing: fleet.control in the door's file")}
	}
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://door"+path, body)
	if err != nil {
		return nil, err
	}
	res, err := (&http.Client{Transport: tr, Timeout: within}).Do(req)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &cli.Error{Code: cli.Nowhere, Err: fmt.Errorf("no door is at %s", socket)}
	} else if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
	if err != nil {
		return nil, err
	}
	switch text := strings.TrimSpace(string(answer)); res.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return answer, nil
	case http.StatusNotFound:
		return nil, &cli.Error{Code: cli.Nowhere, Err: errors.New(text)}
	default:
		return nil, errors.New(cmp.Or(text, res.Status))
	}
}

// table prints how a fleet is seen.
func table(out io.Writer, v *peer.View, now time.Time) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "DOOR\tSTATE\tFOR\tINCARNATION\tPART\tSEEN AS\tCAUSE\n")
	for _, d := range v.Gateways {
		part := "?"
		if d.Fraction != nil {
			part = fmt.Sprintf("%.3f", *d.Fraction)
		}
		seen := map[string]int{}
		for _, s := range d.SeenBy {
			seen[s]++
		}
		var parts []string
		for _, s := range []string{"alive", "returned", "joining", "suspect", "dead", "left", "absent", "unknown"} {
			if seen[s] > 0 {
				parts = append(parts, fmt.Sprintf("%s by %d", s, seen[s]))
			}
		}
		if d.Disagree {
			parts = append(parts, "DISAGREE")
		}
		fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%s\t%s\t%s\n", d.Name, d.State, now.Sub(d.Since).Round(time.Second), d.Incarnation, part,
			strings.Join(parts, ", "), d.Cause)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if v.WrongClock {
		fmt.Fprintf(out, "the clock of %s is not the others': it asks the counter for nothing and takes no share of ceilings; set it and start the door anew\n", v.Name)
	}
	if v.HasDuplicate {
		fmt.Fprintf(out, "another process has the name %s and goes before this one, which takes no share\n", v.Name)
	}
	return nil
}
