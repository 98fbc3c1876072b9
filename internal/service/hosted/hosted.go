package hosted

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"snowhall/internal/account"
	"snowhall/internal/core"
	"snowhall/internal/front/authz"
	"snowhall/internal/front/resp2"
	"snowhall/internal/service"
)

// figuresEvery is how often the figures are logged.
const figuresEvery = time.Minute

// Service is a gapgapd that listens.
type Service struct {
	*core.Core
	Shared *authz.Shared
	cfg    *Config
	log    *slog.Logger
	fronts []core.Front
	addrs  map[string]net.Addr
}

// New makes the service and opens its listeners; it takes no connection before Run.
func New(cfg *Config, log *slog.Logger) (_ *Service, err error) {
	c, err := service.NewCore(cfg.Node, log)
	if err != nil {
		return nil, err
	}
	shared, err := authz.NewShared(c, cfg.Shared, cfg.Accounts, log)
	if err != nil {
		return nil, err
	}
	s := &Service{Core: c, Shared: shared, cfg: cfg, log: log, addrs: map[string]net.Addr{}}
	defer func() {
		if err != nil {
			for _, f := range s.fronts {
				f.CloseListeners()
			}
		}
	}()
	for _, l := range cfg.Listeners {
		var tc *tls.Config
		if l.TLS != nil {
			if tc, err = l.TLS.load(); err != nil {
				return nil, fmt.Errorf("listener %s: %w", l.Name, err)
			}
		}
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", l.Name, err)
		}
		s.addrs[l.Name] = ln.Addr()
		if l.RESP2 {
			s.fronts = append(s.fronts, resp2.New(c, resp2.Config{Classes: cfg.Node.Transport.Classes,
				Plans: cfg.Node.Transport.Plans, Accounts: s.account}, ln, log))
		} else {
			s.fronts = append(s.fronts, authz.New(shared, l.Authz, ln, tc, log))
		}
	}
	return s, nil
}

// account tells the RESP2 front what is configured for a customer, so that one account can't have two plans or two
// shares of its ceiling by coming through two fronts.
func (s *Service) account(customer string) *account.Account {
	return s.Shared.Table().ByCustomer(customer)
}

// Addr is where a listener listens.
func (s *Service) Addr(listener string) net.Addr { return s.addrs[listener] }

// Serve serves until the context ends, then answers what was taken and returns.
func (s *Service) Serve(ctx context.Context) {
	for name, a := range s.addrs {
		s.log.Info("serving", "listener", name, "address", a)
	}
	s.Every(figuresEvery, func() { s.log.Info("figures", "checks", &s.Shared.Figures) })
	s.Run(ctx, s.fronts...)
	s.log.Info("figures", "checks", &s.Shared.Figures)
}

// Reload takes the accounts, rules and the addresses of discovery and the counter of another configuration. All else
// stays as it is until a restart.
func (s *Service) Reload(cfg *Config) error {
	a, b := s.cfg.Node.Transport, cfg.Node.Transport
	if fmt.Sprint(a.Classes, a.Plans) != fmt.Sprint(b.Classes, b.Plans) {
		return errors.New("classes and plans change with a restart only")
	}
	s.Shared.SetTable(cfg.Accounts)
	s.Core.Reload(cfg.Node.Discovery, cfg.Node.Counter)
	return nil
}

// load reads the files.
func (f *TLSFiles) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if f.ClientCA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(f.ClientCA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = x509.NewCertPool()
	if !c.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", f.ClientCA)
	}
	c.ClientAuth = tls.VerifyClientCertIfGiven
	return c, nil
}
