package hosted

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"gapgap/internal/fake/peer"
	"gapgap/internal/resourcelimit"
)

// newHTTP2Client returns a client for HTTP/2 without TLS, with prior knowledge.
func newHTTP2Client() *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}, Timeout: peer.Patient}
}

// TestForwardAuthHTTP2 verifies that checks over HTTP/2 share one connection.
func TestForwardAuthHTTP2(t *testing.T) {
	w := startEnv(t, 1)
	c := newHTTP2Client()
	req, _ := http.NewRequest(http.MethodGet, w.gateways[0].http+"/traefik", nil)
	req.Header = http.Header{"X-Forwarded-Method": {"GET"}, "X-Forwarded-Uri": {"/"}, "X-Forwarded-Host": {"x"},
		"Authorization": {"Bearer key-free"}}
	for range 50 {
		res, err := c.Do(req)
		if err != nil || res.StatusCode != 200 || res.ProtoMajor != 2 {
			t.Fatalf("%+v %v", res, err)
		}
		_ = res.Body.Close()
	}
	if n := w.gateways[0].Conns.Len(); n != 1 {
		t.Errorf("%d connections for one client", n)
	}
}

// dialHTTP2 opens an HTTP/2 connection on which the test writes single frames.
func dialHTTP2(t *testing.T, addr string) (*http2.Framer, net.Conn) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(peer.Patient))
	_, _ = io.WriteString(nc, http2.ClientPreface)
	f := http2.NewFramer(nc, nc)
	_ = f.WriteSettings()
	return f, nc
}

// encodeHeaders returns a header block with fields given as pairs of name and value.
func encodeHeaders(fields ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for i := 0; i < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return b.Bytes()
}

// TestForwardAuthStreamFloods verifies that floods of frames on one HTTP/2 connection (streams that are reset, streams
// that stay half open, pings, settings, continuations) leak no goroutines or memory, and that other clients are
// answered meanwhile.
func TestForwardAuthStreamFloods(t *testing.T) {
	check := encodeHeaders(":method", "GET", ":scheme", "http", ":path", "/traefik", ":authority", "x",
		"x-forwarded-method", "GET", "x-forwarded-uri", "/", "x-forwarded-host", "x",
		"authorization", "Bearer key-free")
	for name, flood := range map[string]func(f *http2.Framer, id uint32) error{
		"resets": func(f *http2.Framer, id uint32) error {
			headers := http2.HeadersFrameParam{
				StreamID:      id,
				BlockFragment: check,
				EndHeaders:    true,
				EndStream:     true,
			}
			if err := f.WriteHeaders(headers); err != nil {
				return err
			}
			return f.WriteRSTStream(id, http2.ErrCodeCancel)
		},
		"half open": func(f *http2.Framer, id uint32) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: check, EndHeaders: true})
		},
		"pings":    func(f *http2.Framer, id uint32) error { return f.WritePing(false, [8]byte{}) },
		"settings": func(f *http2.Framer, id uint32) error { return f.WriteSettings() },
		"continuations": func(f *http2.Framer, id uint32) error {
			if id == 1 {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: check})
			}
			return f.WriteContinuation(1, false, encodeHeaders(fmt.Sprint("x-", id), strings.Repeat("y", 100)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := startEnv(t, 1)
			d := w.gateways[0]
			before := runtime.NumGoroutine()
			f, nc := dialHTTP2(t, d.Addr("http").String())
			go func() { _, _ = io.Copy(io.Discard, nc) }()
			for id := uint32(1); id < 10_000; id += 2 {
				if flood(f, id) != nil {
					break // closed by the gateway
				}
				if id%2000 == 1 {
					if code, _, _ := mustCheck(t, newClient(), d.http+"/traefik", bearer("free")...); code != 200 {
						t.Fatalf("a check of another client: %d", code)
					}
				}
			}
			if n := runtime.NumGoroutine() - before; n > 400 {
				t.Errorf("%d additional goroutines", n)
			}
			_ = nc.Close()
			for end := time.Now().Add(peer.Patient); d.Memory.Held() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes remain held", d.Memory.Held())
				}
			}
		})
	}
}

// TestForwardAuthConnectionsShareOneBudget verifies that all frontends share one limit on client connections: at the
// limit, idle HTTP connections are closed for new RESP2 connections.
func TestForwardAuthConnectionsShareOneBudget(t *testing.T) {
	w := startEnv(t, 1, "sockets = 2048", "sockets = 10") // 6 of the 10 sockets are for clients
	d := w.gateways[0]
	var idle []net.Conn
	for range d.Conns.Max() {
		nc, err := net.Dial("tcp", d.Addr("http").String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		_ = nc.SetDeadline(time.Now().Add(peer.Patient))
		_, _ = io.WriteString(nc, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _ = nc.Read(make([]byte, 4096))
		idle = append(idle, nc)
	}
	// Connections can be evicted once they have been idle for some time.
	for end := time.Now().Add(peer.Patient); ; time.Sleep(20 * time.Millisecond) {
		p := peer.Dial(t, d.resp)
		p.Command("PING")
		if m, err := p.Try(); err == nil && m[0] == "+PONG" {
			break
		} else if time.Now().After(end) {
			t.Fatalf("no idle connection is closed for a new one: %v %v", m, err)
		}
		_ = p.NC.Close()
	}
	ended := 0
	for _, nc := range idle {
		_ = nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := nc.Read(make([]byte, 1)); errors.Is(err, io.EOF) || err != nil && !os.IsTimeout(err) {
			ended++
		}
	}
	if ended == 0 {
		t.Error("no idle HTTP connection was closed")
	}
	if n := d.Conns.Len(); n > d.Conns.Max() {
		t.Errorf("%d connections, over the limit of %d", n, d.Conns.Max())
	}
}

// TestForwardAuthBusyConnectionsStay verifies that, if all client connections have a check in flight, new connections
// are rejected and none of the others is closed.
func TestForwardAuthBusyConnectionsStay(t *testing.T) {
	w := startEnv(t, 1, "sockets = 2048", "sockets = 10")
	d := w.gateways[0]
	spendUnits(t, d, "small", 6)
	resume := w.counter.Stall()
	defer resume()
	codes := make(chan int, 16)
	n := d.Conns.Max()
	for d.Conns.Len() > 0 { // close the connections of spendUnits
		for _, h := range resourcelimit.ConnectionsOf[resourcelimit.ClientConnection](d.Conns) {
			h.CloseWhenIdle()
		}
		time.Sleep(time.Millisecond)
	}
	for i := range n {
		go func() {
			code, _, _, err := tryCheck(newClient(), d.http+"/long",
				append(bearer("small"), "X-Request-Id", fmt.Sprint(i))...)
			if err != nil {
				code = -1
			}
			codes <- code
		}()
	}
	for end := time.Now().Add(peer.Patient); d.Conns.Len() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the checks do not arrive")
		}
	}
	if code, _, _, err := tryCheck(newClient(), d.http+"/long", bearer("free")...); err == nil && code != 503 {
		t.Errorf("a check over the limit: %d", code)
	}
	p := peer.Dial(t, d.resp)
	p.WantsPrefix("-BUSY")
	resume()
	for range n {
		if code := <-codes; code != 200 && code != 429 && code != 503 {
			t.Errorf("a check in flight was answered %d", code)
		}
	}
}

// issueCertificate creates a certificate signed by a CA, or a self-signed one if ca is nil, and writes its PEM files.
func issueCertificate(t *testing.T, dir, name string, ca *tls.Certificate, isCA bool) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		DNSNames:              []string{name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  isCA,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := tmpl, any(key)
	if ca != nil {
		parent, signer = ca.Leaf, ca.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	secret := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, name+".key"), secret, 0o600); err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(cert, secret)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// TestForwardAuthClientCertificates verifies that over TLS only proxies with a trusted certificate of the configured CA
// may send checks, over HTTP/1.1 and HTTP/2.
func TestForwardAuthClientCertificates(t *testing.T) {
	dir := t.TempDir()
	ca, otherCA := issueCertificate(t, dir, "ca", nil, true), issueCertificate(t, dir, "otherca", nil, true)
	issueCertificate(t, dir, "server", &ca, false)
	w := startEnv(t, 1, `trusted = ["127.0.0.1"]`,
		fmt.Sprintf("trusted_certificates = [\"proxy\"]\ntls = {certificate=%q, key=%q, client_ca=%q}",
			dir+"/server.pem", dir+"/server.key", dir+"/ca.pem"))
	url := "https://" + w.gateways[0].Addr("http").String() + "/traefik"
	roots := x509.NewCertPool()
	roots.AddCert(ca.Leaf)
	for _, h2 := range []bool{false, true} {
		for name, c := range map[string]struct {
			certs []tls.Certificate
			want  int // 0: no connection
		}{
			"listed":            {[]tls.Certificate{issueCertificate(t, dir, "proxy", &ca, false)}, 200},
			"not listed":        {[]tls.Certificate{issueCertificate(t, dir, "another", &ca, false)}, 403},
			"none":              {nil, 403},
			"another authority": {[]tls.Certificate{issueCertificate(t, dir, "proxy", &otherCA, false)}, 0},
		} {
			tr := &http.Transport{ForceAttemptHTTP2: h2, TLSClientConfig: &tls.Config{RootCAs: roots}}
			if c.certs != nil { // sent whatever CAs the server requests
				show := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c.certs[0], nil }
				tr.TLSClientConfig.GetClientCertificate = show
			}
			code, _, _, err := tryCheck(&http.Client{Transport: tr, Timeout: peer.Patient}, url, bearer("free")...)
			if code != c.want || (err != nil) != (c.want == 0) {
				t.Errorf("%s (HTTP/2 %v): %d %v", name, h2, code, err)
			}
			tr.CloseIdleConnections()
		}
	}
	code, _, _, err := tryCheck(newClient(), strings.Replace(url, "https", "http", 1), bearer("free")...)
	if err == nil && code < 400 {
		t.Errorf("without TLS: %d", code)
	}
}

// TestForwardAuthLeavesNothingBehind verifies that a gateway leaks no goroutine if it is shut down after checks over
// HTTP/1.1 and HTTP/2 and RESP2 requests, with an incomplete request on an open connection.
func TestForwardAuthLeavesNothingBehind(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	w := startEnv(t, 1)
	for _, c := range []*http.Client{newClient(), newHTTP2Client()} {
		for range 20 {
			mustCheck(t, c, w.gateways[0].http+"/traefik", bearer("free")...)
		}
		c.CloseIdleConnections()
	}
	half, err := net.Dial("tcp", w.gateways[0].Addr("http").String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, "GET / HT")
	p := peer.Dial(t, w.gateways[0].resp)
	p.Command("Q.ASK", customers["free"], "1", "c=evaluate,t=open,d=2000,units=1,spread=1,first=0")
	p.Message()
	w.gateways[0].stop()
	<-w.gateways[0].stopped
	_ = half.Close()
	_ = p.NC.Close()
	for _, s := range w.servers {
		s.Close()
	}
	w.counter.Close()
	w.agent.Close()
	goleak.VerifyNone(t, ignore)
}

// TestForwardAuthDrippingHeaders verifies that a request which arrives byte by byte has one deadline for its whole
// header, as the first request on a connection and as a later one.
func TestForwardAuthDrippingHeaders(t *testing.T) {
	w := startEnv(t, 1)
	addr := w.gateways[0].Addr("http").String()
	for name, before := range map[string]string{"first": "", "later": "GET /none HTTP/1.1\r\nHost: x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(peer.Patient))
			if before != "" {
				_, _ = io.WriteString(nc, before)
				if _, err := nc.Read(make([]byte, 4096)); err != nil {
					t.Fatal(err)
				}
			}
			ended := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, nc)
				ended <- err
			}()
			for i := range 300 { // half a minute
				_, _ = fmt.Fprintf(nc, "%c", ("GET /none HTTP/1.1\r\nX: " + strings.Repeat("y", 300))[i])
				select {
				case err := <-ended:
					var e net.Error
					if errors.As(err, &e) && e.Timeout() {
						t.Fatal("the connection stays open")
					}
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
			t.Error("the connection stays open")
		})
	}
}

// TestForwardAuthProxyThatReadsNothing guards against a connection that stays for good because its proxy sends checks
// and reads none of their answers: it is closed once it has accepted nothing for the idle timeout.
func TestForwardAuthProxyThatReadsNothing(t *testing.T) {
	w := startEnv(t, 1, `header_timeout = "2s"`, "header_timeout = \"2s\"\nidle_timeout = \"500ms\"")
	d := w.gateways[0]
	proxy := peer.Dial(t, d.Addr("http").String())
	check := "GET /traefik HTTP/1.1\r\nHost: checks\r\nAuthorization: Bearer key-free\r\n\r\n"
	closed := make(chan error, 1)
	go func() {
		for {
			if _, err := io.WriteString(proxy.NC, strings.Repeat(check, 100)); err != nil {
				closed <- err
				return
			}
		}
	}()
	asked, served := 0, 0
	for ended := false; !ended; time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-closed:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("the connection is still open after %v", peer.Patient)
			}
			ended = true
		default:
		}
		asked++
		if code, _, _ := mustCheck(t, newClient(), d.http+"/traefik", bearer("free")...); code == 200 {
			served++
		}
	}
	if served < asked/2 { // the flood takes the processor, too
		t.Errorf("%d of %d checks of another proxy were served", served, asked)
	}
	for limit := time.Now().Add(peer.Patient); d.Memory.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d bytes remain held", d.Memory.Held())
		}
	}
}
