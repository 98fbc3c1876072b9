package hosted

import (
	"crypto/tls"
	"fmt"
	"net"

	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/frontend/resp2"
)

// listen opens a listener and adds its frontend.
func (s *Service) listen(cfg *Listener) error {
	tlsConfig, err := cfg.loadTLS()
	if err != nil {
		return fmt.Errorf("listener %s: %w", cfg.Name, err)
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return fmt.Errorf("listener %s: %w", cfg.Name, err)
	}
	s.addresses[cfg.Name] = listener.Addr()
	s.addFrontend(cfg, listener, tlsConfig)
	return nil
}

// loadTLS returns the TLS configuration of a listener, or nil if it does not use TLS.
func (cfg *Listener) loadTLS() (*tls.Config, error) {
	if cfg.TLS == nil {
		return nil, nil
	}
	return cfg.TLS.load()
}

// addFrontend adds the frontend of an open listener. All frontends resolve accounts in the same way, so that no account
// gets two plans, or two shares of its ceiling, by using two of them.
func (s *Service) addFrontend(cfg *Listener, listener net.Listener, tlsConfig *tls.Config) {
	switch {
	case cfg.Metrics:
		s.frontends = append(s.frontends, newMetricsFrontend(s.metrics, listener))
	case cfg.RESP2:
		config := resp2.Config{
			Listener: cfg.Name,
			Routes:   true,
			Accounts: s.Shared.Account,
		}
		s.frontends = append(s.frontends, resp2.New(s.Env, config, listener, s.log))
	default:
		frontend := extauthz.New(s.Shared, cfg.Authz, listener, tlsConfig, s.log)
		s.frontends = append(s.frontends, frontend)
		s.authzFrontends = append(s.authzFrontends, frontend)
	}
}
