package hosted

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/service"
)

// defaultHoldTimeout is the default for how long an admitted request of an account may last.
const defaultHoldTimeout = 30 * time.Second

// accounts compiles the accounts for one pool. If the file has [[pool]] tables, a pool without an account's plan does
// not serve the account, and an account may list classes of other pools too.
func (f *configFile) accounts(node *service.Config, spec *poolSpec) (*account.Table, error) {
	specs, err := f.accountSpecs(node.Settings.Gateways)
	if err != nil {
		return nil, err
	}
	var rules []account.Rule
	for _, rule := range spec.Rules {
		rules = append(rules, account.Rule{
			Host:    rule.Host,
			Methods: rule.Methods,
			Path:    rule.Path,
			Class:   rule.Class,
			Units:   rule.Units,
		})
	}
	names := account.Names{
		Classes:       node.Transport.Classes,
		Plans:         node.Transport.Plans,
		Policies:      extauthz.Policies(node.Transport.Plans, node.Settings.Plans),
		HasOtherPools: len(f.Pools) > 0,
	}
	table, err := account.Compile(specs, rules, names, node.Settings.MaxRequestUnits)
	var field *account.Error
	if errors.As(err, &field) && strings.HasPrefix(field.Field, "rule") {
		field.Field = spec.tablePrefix + field.Field
	}
	return table, err
}

// accountSpecs returns the accounts of the file. An account can't use more gateways than there are.
func (f *configFile) accountSpecs(gateways int) ([]account.Spec, error) {
	var specs []account.Spec
	for i := range f.Accounts {
		table := &f.Accounts[i]
		if table.Gateways > gateways {
			return nil, fieldErrorf(fmt.Sprintf("account[%d].doors", i), "exceeds node.doors")
		}
		specs = append(specs, account.Spec{
			Name:         table.Name,
			Customer:     table.Customer,
			Plan:         table.Plan,
			Keys:         table.Keys,
			Certificates: table.Certificates,
			Classes:      table.Classes,
			Gateways:     table.Gateways,
			HoldFor:      cmp.Or(time.Duration(table.HoldTimeout), defaultHoldTimeout),
		})
	}
	return specs, nil
}

// checkAccountPlans checks that each account's plan exists in at least one pool.
func (f *configFile) checkAccountPlans(pools []Pool) error {
	for i := range f.Accounts {
		plan := f.Accounts[i].Plan
		hasPlan := func(pool Pool) bool { return slices.Contains(pool.Node.Transport.Plans, plan) }
		if !slices.ContainsFunc(pools, hasPlan) {
			return fieldErrorf(fmt.Sprintf("account[%d].plan", i), "no plan is named %q", plan)
		}
	}
	return nil
}
