package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// defaultAdminURL is where operators' commands look for a node.
	defaultAdminURL = "http://127.0.0.1:8081"
	// adminEnvironment begins the variables of operators' commands, such as
	// VALVESLIP_ADMIN_URL and VALVESLIP_ADMIN_TOKEN.
	adminEnvironment = "VALVESLIP_ADMIN"
	// adminTimeout bounds one call, except an event stream.
	adminTimeout = 30 * time.Second
)

// operator is what operators' commands share: where the node is, who asks and
// how the answer is shown.
type operator struct {
	out       io.Writer
	url       string
	token     string
	tokenFile string
	authority string
	json      bool
}

// operatorFlags returns a flag set with the flags that operators' commands
// share.
func operatorFlags(name string, out io.Writer) (*flag.FlagSet, *operator) {
	flags := flag.NewFlagSet("valveslip "+name, flag.ContinueOnError)
	o := &operator{out: out}
	flags.StringVar(&o.url, "url", defaultAdminURL, "URL of a node's administration API")
	flags.StringVar(&o.token, "token", "", "access token; better set by "+adminEnvironment+"_TOKEN or --token-file, as others may see arguments")
	flags.StringVar(&o.tokenFile, "token-file", "", "file that holds the access token")
	flags.StringVar(&o.authority, "ca-file", "", "PEM certificates of the authorities to trust; the system's when empty")
	flags.BoolVar(&o.json, "json", false, "print JSON for programs")
	return flags, o
}

// operatorCommand is the common shape of operators' commands. Arguments after
// the flags are passed on; there must be between least and most of them.
func operatorCommand(usage, help string, flags *flag.FlagSet, least, most int, run func(ctx context.Context, arguments []string) error) *ffcli.Command {
	words := strings.Fields(flags.Name())
	return &ffcli.Command{
		Name: words[len(words)-1], ShortUsage: flags.Name() + " " + usage, ShortHelp: help, FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(adminEnvironment)},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) < least || len(arguments) > most {
				return &exitError{code: exitUsage, err: fmt.Errorf("usage: %s %s", flags.Name(), usage)}
			}
			return adminError(run(ctx, arguments))
		},
	}
}

// client returns the API's client.
func (o *operator) client(timeout time.Duration) (*admin.Client, error) {
	token := o.token
	if o.tokenFile != "" {
		data, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the token")
		}
		token = strings.TrimSpace(string(data))
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.authority != "" {
		data, err := os.ReadFile(o.authority)
		if err != nil {
			return nil, eris.Wrap(err, "read the authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, eris.Errorf("%s holds no PEM certificate", o.authority)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return &admin.Client{URL: o.url, Token: token, HTTP: &http.Client{Transport: transport, Timeout: timeout}}, nil
}

// show prints a value as JSON, or as text prints it.
func (o *operator) show(value any, text func(io.Writer) error) error {
	if !o.json {
		return text(o.out)
	}
	encoder := json.NewEncoder(o.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// adminError gives an error of the API the exit code of its cause.
func adminError(err error) error {
	var failed *admin.RequestError
	if !errors.As(err, &failed) {
		return err
	}
	code := exitFailure
	switch {
	case failed.OutcomePath != "" || failed.Code == verdict.CodeOutcomeUnknown:
		code = exitUnknown
		err = eris.Errorf("%s\nthe edit may have taken effect; repeat the command, or read %s", failed.Error(), failed.OutcomePath)
	case failed.Status == http.StatusUnauthorized || failed.Status == http.StatusForbidden:
		code = exitDenied
	case failed.Status == http.StatusConflict:
		code = exitConflict
	case failed.Status == http.StatusBadRequest || failed.Status == http.StatusUnprocessableEntity || failed.Status == http.StatusRequestEntityTooLarge:
		code = exitInvalid
	case failed.Status == http.StatusNotFound:
		code = exitNotFound
	case failed.Status == 0 || failed.Status == http.StatusServiceUnavailable:
		code = exitUnavailable
	}
	return &exitError{code: code, err: err}
}
