package extauthz

import (
	"errors"
	"net/http"
	"strings"

	"gapgap/internal/account"
)

// errUnknownCredential means that a check has no credential, or one of no account.
var errUnknownCredential = errors.New("unknown credential")

const (
	authorizationHeader = "Authorization"
	// bearerPrefix is compared without regard to case.
	bearerPrefix = "bearer "
)

// identify returns the account of a check by the first kind of credential that is present. Its error is
// errUnknownCredential or a *headerError.
func (r *Route) identify(accounts *account.Table, header http.Header) (*account.Account, error) {
	for _, identity := range r.Identify {
		credential, err := r.readCredential(identity, header)
		if err != nil {
			return nil, err
		}
		if credential == "" {
			continue
		}
		if found := findAccount(accounts, identity, credential); found != nil {
			return found, nil
		}
		return nil, errUnknownCredential
	}
	return nil, errUnknownCredential
}

// readCredential returns a credential of one kind, or an empty string if there is none.
func (r *Route) readCredential(identity Identity, header http.Header) (string, error) {
	switch identity {
	case ByKey:
		return readAPIKey(header, r.KeyHeader)
	case ByHeader:
		return singleValue(header, r.AccountHeader)
	case ByCertificate:
		return singleValue(header, r.CertificateHeader)
	default:
		return "", nil
	}
}

// findAccount returns the account that has a credential, or nil.
func findAccount(accounts *account.Table, identity Identity, credential string) *account.Account {
	switch identity {
	case ByKey:
		return accounts.ByKey(credential)
	case ByHeader:
		return accounts.ByName(credential)
	case ByCertificate:
		return accounts.ByCertificate(credential)
	default:
		return nil
	}
}

// readAPIKey returns the API key from Authorization with the scheme Bearer (RFC 6750, section 2.1), or else from the
// key header, unless keyHeader is empty.
func readAPIKey(header http.Header, keyHeader string) (string, error) {
	authorization, err := singleValue(header, authorizationHeader)
	if err != nil {
		return "", err
	}
	if len(authorization) > len(bearerPrefix) && strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(authorization[len(bearerPrefix):]), nil
	}
	if keyHeader == "" {
		return "", nil
	}
	return singleValue(header, keyHeader)
}
