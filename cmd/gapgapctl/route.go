package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"gapgap/internal/account"
	"gapgap/internal/cli"
	"gapgap/internal/route"
	"gapgap/internal/service/hosted"
)

// newRouteCommand returns the command group for the routing table of a configuration file.
func newRouteCommand() *cobra.Command {
	command := &cobra.Command{Use: "route", Short: "Inspect the routing table of a configuration file"}
	command.AddCommand(newRouteExplainCommand(), newRouteListCommand())
	return command
}

// requestFlags are the flags of route explain that describe a request.
type requestFlags struct {
	listener string
	host     string
	path     string
	method   string
	class    string
	// account is the account's name or its customer number.
	account string
	// headers are header fields in the form NAME=VALUE.
	headers []string
}

// add adds the flags to a command.
func (f *requestFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.listener, "listener", "", "the listener's name")
	flags.StringVar(&f.host, "host", "", "the host, with or without port")
	flags.StringVar(&f.path, "path", "", "the path, with or without query")
	flags.StringVar(&f.method, "method", "", "the method")
	flags.StringVar(&f.class, "class", "", "the class (RESP2 only: a check has none before its pool is known)")
	flags.StringVar(&f.account, "account", "", "the account's name or customer number")
	flags.StringArrayVar(&f.headers, "header", nil, "a header field as NAME=VALUE; may be repeated")
}

// query returns the routing table query that a frontend would make for the request.
func (f *requestFlags) query(cfg *hosted.Config) (*route.Query, error) {
	query := &route.Query{
		Listener: f.listener,
		Method:   strings.ToUpper(f.method),
		Class:    f.class,
	}
	var err error
	if query.Host, query.Path, err = f.target(); err != nil {
		return nil, err
	}
	if query.Account, err = f.customer(cfg); err != nil {
		return nil, err
	}
	if query.Header, err = f.header(); err != nil {
		return nil, err
	}
	return query, nil
}

// target returns the request's host and path in the form that the routing table uses; each is empty if its flag is.
func (f *requestFlags) target() (host, path string, err error) {
	if f.host == "" && f.path == "" {
		return "", "", nil
	}
	requestPath := f.path
	if requestPath == "" {
		requestPath = "/"
	}
	host, path, err = account.Target(f.host, requestPath)
	if err != nil {
		return "", "", fmt.Errorf("--host or --path: %w", err)
	}
	if f.path == "" {
		path = ""
	}
	return host, path, nil
}

// customer returns the customer of the account, or an empty string if the flag is not set.
func (f *requestFlags) customer(cfg *hosted.Config) (string, error) {
	if f.account == "" {
		return "", nil
	}
	found := cfg.Accounts.ByName(f.account)
	if found == nil {
		found = cfg.Accounts.ByCustomer(strings.ToLower(f.account))
	}
	if found == nil {
		return "", fmt.Errorf("--account: no account is named %q or has that customer number", f.account)
	}
	return found.Customer, nil
}

// header returns the request's header fields by their canonical names.
func (f *requestFlags) header() (map[string][]string, error) {
	header := map[string][]string{}
	for _, field := range f.headers {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("--header: %q is not NAME=VALUE", field)
		}
		name = http.CanonicalHeaderKey(name)
		header[name] = append(header[name], value)
	}
	return header, nil
}

// explanation is the output of route explain --json.
type explanation struct {
	// Rule is the name of the deciding rule; empty means that no rule matches and the default applies.
	Rule string `json:"rule"`
	// Pool is the request's pool; empty means that no pool takes it.
	Pool string `json:"pool"`
	// Steps are the rules up to the deciding one, in order of precedence.
	Steps []route.Step `json:"steps"`
}

// newRouteExplainCommand returns the command that shows which rule routes a request to which pool.
func newRouteExplainCommand() *cobra.Command {
	var request requestFlags
	var asJSON bool
	command := &cobra.Command{
		Use:   "explain FILE",
		Short: "Show which pool a request is routed to, and why",
		Args:  cobra.ExactArgs(1),
		Long: "Show which rule routes a request to which pool: the rules in order of precedence, " +
			"each with the condition that does not match,\n" +
			"up to the deciding one. The exit code is 3 if no pool takes the request.",
		Example: "  gapgapctl route explain gapgapd.toml --host flags.example.org --path /v1/x --method POST " +
			"--account acme\n" +
			"  gapgapctl route explain gapgapd.toml --listener resp2 --class change",
		RunE: func(c *cobra.Command, args []string) error {
			return explainRoute(c.OutOrStdout(), args[0], &request, asJSON)
		},
	}
	request.add(command)
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// explainRoute prints which rule of a configuration file routes the request. It is an error if no pool takes it.
func explainRoute(out io.Writer, file string, request *requestFlags, asJSON bool) error {
	cfg, err := hosted.Load(file)
	if err != nil {
		return err
	}
	query, err := request.query(cfg)
	if err != nil {
		return err
	}
	steps, match := cfg.Routes.Explain(query)
	result := explanation{Rule: match.Rule, Pool: match.Pool, Steps: steps}
	if asJSON {
		err = json.NewEncoder(out).Encode(result)
	} else {
		err = result.print(out)
	}
	if err != nil {
		return err
	}
	if result.Pool == "" {
		return &cli.Error{Code: cli.Nowhere, Err: errors.New("no pool takes this request")}
	}
	return nil
}

// print writes the explanation as text.
func (e *explanation) print(out io.Writer) error {
	rules := newTable(out)
	for _, step := range e.Steps {
		if step.Fails == "" {
			rules.row(step.Rule, "decides")
		} else {
			rules.row(step.Rule, step.Fails+" does not match")
		}
	}
	if e.Rule == "" && e.Pool != "" {
		rules.row("(default)", "decides")
	}
	if err := rules.flush(); err != nil {
		return err
	}
	if e.Pool == "" {
		return nil
	}
	_, err := fmt.Fprintln(out, "pool", e.Pool)
	return err
}

// newRouteListCommand returns the command that lists the rules of a configuration file.
func newRouteListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list FILE",
		Short: "List the rules in order of precedence",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := hosted.Load(args[0])
			if err != nil {
				return err
			}
			rules := newTable(c.OutOrStdout())
			for _, rule := range cfg.Routes.Rules() {
				rules.row(rule.Name, ruleConditions(&rule), ruleTargets(&rule))
			}
			return rules.flush()
		},
	}
}

// ruleConditions returns a table cell with the conditions of a rule.
func ruleConditions(rule *route.Rule) string {
	var conditions []string
	add := func(name, value string) {
		if value != "" {
			conditions = append(conditions, name+"="+value)
		}
	}
	add("listener", rule.Listener)
	add("host", rule.Host)
	add("path", rule.Path)
	add("methods", strings.Join(rule.Methods, ","))
	for _, header := range rule.Headers {
		add("header", header.Name+":"+header.Value)
	}
	add("class", rule.Class)
	add("account", rule.Account)
	return strings.Join(conditions, " ")
}

// ruleTargets returns a table cell with the pools of a rule and their weights.
func ruleTargets(rule *route.Rule) string {
	var targets []string
	for _, target := range rule.Targets {
		targets = append(targets, fmt.Sprintf("%s:%g", target.Pool, target.Weight))
	}
	return strings.Join(targets, " ")
}
