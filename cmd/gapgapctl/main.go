// Command gapgapctl is the operators' command line. `gapgapctl --help` says what it can do.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"gapgap/internal/account"
	"gapgap/internal/cli"
	"gapgap/internal/route"
	"gapgap/internal/service/hosted"
)

func main() { os.Exit(cli.Run(context.Background(), command(), os.Args[1:], os.Stderr)) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "gapgapctl", Short: "Operate gapgap"}
	routes := &cobra.Command{Use: "route", Short: "The routing table of a configuration"}
	routes.AddCommand(explain(), list())
	root.AddCommand(routes, fleet(), policies())
	return root
}

// asked is a request as the flags of route explain describe it.
type asked struct {
	listener, host, path, method, class, account string
	headers                                      []string
	json                                         bool
}

// query makes of it what a front would ask the table.
func (a *asked) query(cfg *hosted.Config) (*route.Query, error) {
	q := &route.Query{Listener: a.listener, Method: strings.ToUpper(a.method), Class: a.class, Header: map[string][]string{}}
	if a.host != "" || a.path != "" {
		path := a.path
		if path == "" {
			path = "/"
		}
		var err error
		if q.Host, q.Path, err = account.Target(a.host, path); err != nil {
			return nil, fmt.Errorf("--host or --path: %w", err)
		}
		if a.path == "" {
			q.Path = ""
		}
	}
	if a.account != "" {
		acct := cfg.Accounts.ByName(a.account)
		if acct == nil {
			acct = cfg.Accounts.ByCustomer(strings.ToLower(a.account))
		}
		if acct == nil {
			return nil, fmt.Errorf("--account: no account is named %q, nor is that a customer's number", a.account)
		}
		q.Account = acct.Customer
	}
	for _, h := range a.headers {
		name, value, ok := strings.Cut(h, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("--header: %q is not NAME=VALUE", h)
		}
		name = http.CanonicalHeaderKey(name)
		q.Header[name] = append(q.Header[name], value)
	}
	return q, nil
}

// explanation is the form of route explain --json.
type explanation struct {
	Rule  string       `json:"rule"` // empty: no rule fits, and the default holds
	Pool  string       `json:"pool"` // empty: nowhere
	Steps []route.Step `json:"steps"`
}

func explain() *cobra.Command {
	a := &asked{}
	c := &cobra.Command{Use: "explain FILE", Short: "Say where a request goes, and why", Args: cobra.ExactArgs(1),
		Long: "Say by which rule a request goes to which pool: the rules in their order of precedence, each with the part that does not fit,\n" +
			"up to the one that decides. It exits with 3 where no pool takes the request.",
		Example: "  gapgapctl route explain gapgapd.toml --host flags.example.org --path /v1/x --method POST --account acme\n" +
			"  gapgapctl route explain gapgapd.toml --listener resp2 --class change",
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := hosted.Load(args[0])
			if err != nil {
				return err
			}
			q, err := a.query(cfg)
			if err != nil {
				return err
			}
			steps, m := cfg.Routes.Explain(q)
			out := c.OutOrStdout()
			if a.json {
				if err := json.NewEncoder(out).Encode(explanation{m.Rule, m.Pool, steps}); err != nil {
					return err
				}
			} else {
				t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, s := range steps {
					if s.Fails == "" {
						fmt.Fprintf(t, "%s\tdecides\n", s.Rule)
					} else {
						fmt.Fprintf(t, "%s\t%s does not fit\n", s.Rule, s.Fails)
					}
				}
				if m.Rule == "" && m.Pool != "" {
					fmt.Fprint(t, "(default)\tdecides\n")
				}
				if err := t.Flush(); err != nil {
					return err
				}
				if m.Pool != "" {
					fmt.Fprintln(out, "pool", m.Pool)
				}
			}
			if m.Pool == "" {
				return &cli.Error{Code: cli.Nowhere, Err: errors.New("no pool takes this request")}
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&a.listener, "listener", "", "the listener's name")
	f.StringVar(&a.host, "host", "", "the host, with or without port")
	f.StringVar(&a.path, "path", "", "the path, with or without query")
	f.StringVar(&a.method, "method", "", "the method")
	f.StringVar(&a.class, "class", "", "the class (RESP2 only: a check has none before its pool is known)")
	f.StringVar(&a.account, "account", "", "the account, by its name or its customer's number")
	f.StringArrayVar(&a.headers, "header", nil, "a header field as NAME=VALUE; may stand more than once")
	f.BoolVar(&a.json, "json", false, "print JSON")
	return c
}

func list() *cobra.Command {
	return &cobra.Command{Use: "list FILE", Short: "List the rules in their order of precedence", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := hosted.Load(args[0])
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, r := range cfg.Routes.Rules() {
				var parts, to []string
				add := func(k, v string) {
					if v != "" {
						parts = append(parts, k+"="+v)
					}
				}
				add("listener", r.Listener)
				add("host", r.Host)
				add("path", r.Path)
				add("methods", strings.Join(r.Methods, ","))
				for _, h := range r.Headers {
					add("header", h.Name+":"+h.Value)
				}
				add("class", r.Class)
				add("account", r.Account)
				for _, g := range r.Targets {
					to = append(to, fmt.Sprintf("%s:%g", g.Pool, g.Weight))
				}
				fmt.Fprintf(t, "%s\t%s\t%s\n", r.Name, strings.Join(parts, " "), strings.Join(to, " "))
			}
			return t.Flush()
		}}
}
