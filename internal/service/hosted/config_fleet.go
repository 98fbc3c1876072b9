package hosted

import (
	"errors"
	"net/netip"

	"gapgap/internal/peer"
)

// clusterSettings validates [fleet] and sets the number of gateways and this gateway's index in [node] accordingly. It
// returns nil if this gateway is not part of a cluster.
func (f *configFile) clusterSettings(allowed []netip.Prefix) (*peer.Settings, error) {
	node := &f.Node
	if f.Fleet == nil {
		return nil, nil
	}
	if node.Name == "" {
		return nil, fieldErrorf("node.name", "is required with [fleet]: it identifies this gateway in the cluster")
	}
	isAddressAllowed := func(address netip.Addr) bool { return isAllowed(address, allowed) }
	settings, err := f.Fleet.Check(node.Name, isAddressAllowed, isPlainName)
	var field *peer.FieldError
	if errors.As(err, &field) {
		return nil, fieldErrorf("fleet."+field.Field, "%w", field.Err)
	}
	if err != nil {
		return nil, err
	}
	if node.Gateways != 0 && node.Gateways != len(settings.Gateways) {
		return nil, fieldErrorf("node.doors", "is %d, but [fleet] has %d", node.Gateways, len(settings.Gateways))
	}
	if node.Index != 0 && node.Index != settings.Index {
		return nil, fieldErrorf("node.rank", "is %d, but %s is number %d of [fleet]",
			node.Index, node.Name, settings.Index)
	}
	node.Gateways = len(settings.Gateways)
	node.Index = settings.Index
	return settings, nil
}
