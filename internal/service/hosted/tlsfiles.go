package hosted

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLSFiles has the paths of the PEM files of a listener with TLS.
type TLSFiles struct {
	Certificate string
	Key         string
	// ClientCA has the CA certificates that client certificates are verified by; if it is empty, the listener does not
	// request client certificates.
	ClientCA string
}

// load reads the files and returns the TLS configuration of a server.
func (f *TLSFiles) load() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
	}
	if f.ClientCA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(f.ClientCA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s does not contain a certificate", f.ClientCA)
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}
