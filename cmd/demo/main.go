// Command demo starts a front door with a RESP2 listener and one for HTTP authorization checks, and stand-ins for all
// that it needs: flag servers, the quota counter and discovery, on loopback. It prints lines to try by hand. With -once
// it tries them itself and ends. With --doors it shows several that know each other.
package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
	"gapgap/internal/service/hosted"
)

const (
	key      = "demo"
	customer = "00000000b4d65521"
)

const config = `
[node]
name = "demo"
discovery = %q
counter = %q
[limits]
retry_after = "5s"
probe = true
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "3s"
[[plan]]
name = "business"
rate = 5.0
burst = 10.0
over_worth = 0.2
ceiling_rate = 10.0
ceiling_depth = 20.0
[[listener]]
name = "resp2"
protocol = "resp2"
address = %q
[[listener]]
name = "checks"
protocol = "authz"
address = %q
trusted = ["127.0.0.0/8"]
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "nonce"
default_class = "evaluate"
[[account]]
name = "acme"
customer = %q
plan = "business"
keys = ["%x"]
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var resp, checks string
	var once bool
	var doors int
	root := &cobra.Command{Use: "demo", Short: "Start a front door with stand-ins for all that it needs, on loopback", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), resp, checks, doors, once, c.OutOrStdout())
		}}
	root.Flags().StringVar(&resp, "resp2", "127.0.0.1:6379", "`address` of the RESP2 listener")
	root.Flags().StringVar(&checks, "checks", "127.0.0.1:9090", "`address` of the listener for checks")
	root.Flags().IntVar(&doors, "doors", 1, "so many doors that know each other, one of which leaves and is started again")
	root.Flags().BoolVar(&once, "once", false, "try both once and end")
	os.Exit(cli.Run(ctx, root, os.Args[1:], os.Stderr))
}

func run(ctx context.Context, resp, checks string, doors int, once bool, out io.Writer) error {
	if doors < 1 || doors > 20 {
		return &cli.Error{Code: cli.Misused, Err: fmt.Errorf("--doors is %d, not 1 to 20", doors)}
	}
	var list []catalog.Endpoint
	for i := range 3 {
		s, err := flagserver.Start(flagserver.Config{Delay: 5 * time.Millisecond, Value: fmt.Sprint("a flag value from s-", i)})
		if err != nil {
			return err
		}
		defer s.Close()
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	agent, err := catalog.Start(list...)
	if err != nil {
		return err
	}
	defer agent.Close()
	if doors > 1 {
		return runDoors(ctx, doors, agent.Addr(), once, out)
	}
	counter, err := quota.Start()
	if err != nil {
		return err
	}
	defer counter.Close()
	cfg, err := hosted.Parse("demo", fmt.Appendf(nil, config, agent.Addr(), counter.Addr(), resp, checks, customer, keySum()))
	if err != nil {
		return err
	}
	s, err := hosted.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Serve(ctx)
	}()
	resp, checks = s.Addr("resp2").String(), s.Addr("checks").String()
	host, port, _ := net.SplitHostPort(resp)
	fmt.Fprintf(out, `A check, as a proxy asks it (repeat it fast, and it is refused with Retry-After):

  curl -i -H 'Authorization: Bearer %s' -H 'X-Forwarded-Method: GET' -H 'X-Forwarded-Host: flags.example.org' \
    -H 'X-Forwarded-Uri: /v1/flags' http://%s/check

The same account over RESP2, on the same quota:

  exec 3<>/dev/tcp/%s/%s; printf '%s' >&3; timeout 1 cat <&3

`, key, checks, host, port, strings.NewReplacer("\r", `\r`, "\n", `\n`).Replace(command("1")))
	if once {
		if err := try(out, resp, checks); err != nil {
			return err
		}
		stop()
	}
	<-ended
	return nil
}

// keySum is what stands in the file for the account's key.
func keySum() [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// command is a request over RESP2.
func command(id string) string {
	s := "*4\r\n"
	for _, a := range []string{"Q.ASK", customer, id, "c=evaluate,t=business,d=1000,units=1,spread=1,first=0"} {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

// try makes a check and a request, and again until both have passed: a fresh front door's ceiling starts empty.
func try(out io.Writer, resp, checks string) error {
	code, line := 0, ""
	for end := time.Now().Add(10 * time.Second); code != http.StatusOK || !strings.HasPrefix(line, "*") && !strings.HasPrefix(line, "$"); {
		if time.Now().After(end) {
			return fmt.Errorf("a check was answered %d, a request %q", code, line)
		}
		ok, err := check(context.Background(), checks)
		if err != nil {
			return err
		}
		if code = http.StatusForbidden; ok {
			code = http.StatusOK
		}
		nc, err := net.Dial("tcp", resp)
		if err != nil {
			return err
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(nc, command(fmt.Sprint(time.Now().UnixNano())))
		line, err = bufio.NewReader(nc).ReadString('\n')
		nc.Close()
		if err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	fmt.Fprintf(out, "the check was answered %d, the request %q\n", code, line)
	return nil
}
