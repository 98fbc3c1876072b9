package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"gapgap/internal/fake/deployment"
	"gapgap/internal/service/hosted"
)

const (
	// tryTimeout bounds how long a check and a request are repeated until both are served.
	tryTimeout = 10 * time.Second
	// tryInterval is the pause between two repetitions.
	tryInterval = 50 * time.Millisecond
)

// instructionsFormat shows how to try a gateway by hand. Its arguments are the API key, the address for checks, the
// host and port for RESP2 and a request as an argument of the shell's printf.
const instructionsFormat = `A check as a proxy sends it (if repeated quickly, it is rejected with Retry-After):

  curl -i -H 'Authorization: Bearer %s' -H 'X-Forwarded-Method: GET' -H 'X-Forwarded-Host: flags.example.org' \
    -H 'X-Forwarded-Uri: /v1/flags' http://%s/check

The same account over RESP2, with the same quota:

  exec 3<>/dev/tcp/%s/%s; printf '%s' >&3; timeout 1 cat <&3

`

// runSingle runs one gateway and prints instructions for trying it. It returns when the context is done or, with
// options.once, after a check and a request were served.
func runSingle(ctx context.Context, opts options, fakes *deployment.Deployment, out io.Writer) error {
	config := gatewayConfig{
		name:             "demo",
		discoveryAddress: fakes.DiscoveryAddress(),
		counterAddress:   fakes.CounterAddress(),
		resp2Address:     opts.resp2Address,
		checkAddress:     opts.checkAddress,
	}
	parsed, err := hosted.Parse("demo", []byte(config.text()))
	if err != nil {
		return err
	}
	service, err := hosted.New(parsed, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		service.Serve(ctx)
	}()
	resp2Address := service.Addr("resp2").String()
	checkAddress := service.Addr("checks").String()
	if err := printInstructions(out, resp2Address, checkAddress); err != nil {
		return err
	}
	if opts.once {
		if err := tryBoth(out, resp2Address, checkAddress); err != nil {
			return err
		}
		stop()
	}
	<-stopped
	return nil
}

// printInstructions prints commands for trying a gateway by hand.
func printInstructions(out io.Writer, resp2Address, checkAddress string) error {
	host, port, err := net.SplitHostPort(resp2Address)
	if err != nil {
		return err
	}
	shellCommand := strings.NewReplacer("\r", `\r`, "\n", `\n`).Replace(resp2Command("1"))
	_, err = fmt.Fprintf(out, instructionsFormat, apiKey, checkAddress, host, port, shellCommand)
	return err
}

// tryBoth sends a check and a request over RESP2, and repeats both until both are served. The first ones may be
// rejected, because the ceiling's bucket is empty right after the gateway's start.
func tryBoth(out io.Writer, resp2Address, checkAddress string) error {
	status := 0
	line := ""
	for deadline := time.Now().Add(tryTimeout); status != http.StatusOK || !isServed(line); {
		if time.Now().After(deadline) {
			return fmt.Errorf("the check returned status %d, the request returned %q", status, line)
		}
		admitted, err := check(context.Background(), checkAddress)
		if err != nil {
			return err
		}
		status = http.StatusForbidden
		if admitted {
			status = http.StatusOK
		}
		if line, err = sendRESP2(resp2Address); err != nil {
			return err
		}
		time.Sleep(tryInterval)
	}
	_, err := fmt.Fprintf(out, "the check was answered %d, the request %q\n", status, line)
	return err
}
