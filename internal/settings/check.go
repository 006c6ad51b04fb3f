package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
)

const sha256HexLength = 64

var (
	logLevels = []string{"debug", "info", "warn", "error"}
	policies  = []string{"scheduler", "shares", "alone"}
)

func (s *Entry) check(faults *Faults) {
	checkName("name", s.Name, faults)
	checkName("zone", s.Zone, faults)
	checkOwnAddress("callers_address", s.CallersAddress, faults)
	checkOwnAddress("peers_address", s.PeersAddress, faults)
	checkOwnAddress("operators_address", s.OperatorsAddress, faults)
	checkDistinct(s, faults)
	checkURLs("platform.log", s.Platform.Log, faults)
	checkURL("platform.instances", s.Platform.Instances, faults)
	for i, address := range s.Peers {
		checkAddress(fmt.Sprintf("peers[%d]", i), address, faults)
	}
	s.SharedKey = secret("shared_key", s.SharedKey, "shared_key_file", s.SharedKeyFile, faults)
	checkKey("shared_key", s.SharedKey, faults)
	if s.AcceptedKey != "" || s.AcceptedKeyFile != "" {
		s.AcceptedKey = secret("accepted_key", s.AcceptedKey, "accepted_key_file", s.AcceptedKeyFile, faults)
		checkKey("accepted_key", s.AcceptedKey, faults)
	}
	checkTokenHash(s.OperatorTokenSHA256, faults)
	if s.TLS != nil {
		s.TLS.check(faults)
	}
	checkOneOf("log_level", s.LogLevel, logLevels, faults)
	checkOneOf("policy", s.Policy, policies, faults)
}

func (s *Console) check(faults *Faults) {
	checkAddress("address", s.Address, faults)
	checkAddresses("entries", s.Entries, faults)
	checkTokenHash(s.OperatorTokenSHA256, faults)
	checkURLs("log", s.Log, faults)
	checkOneOf("log_level", s.LogLevel, logLevels, faults)
}

func (s *Ctl) check(faults *Faults) {
	checkAddresses("entries", s.Entries, faults)
	s.Token = secret("token", s.Token, "token_file", s.TokenFile, faults)
	if s.TimeoutMS < 1 {
		faults.add("timeout_ms", "is not above 0", "write a number of milliseconds, such as 15000")
	}
}

func (t *TLS) check(faults *Faults) {
	_, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		faults.add("tls.cert_file", fmt.Sprintf("certificate and key cannot be loaded: %v", err), "name PEM files of a certificate and its key in cert_file and key_file")
	}
	if _, err := t.pool(); err != nil {
		faults.add("tls.ca_file", err.Error(), "name a PEM file with the CA that signed the entries' certificates")
	}
}

func (t *TLS) pool() (*x509.CertPool, error) {
	data, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s contains no certificate", t.CAFile)
	}
	return pool, nil
}

// Config returns the TLS configuration of both ends of a link; nil for plain TCP.
// Both ends must present a certificate, so that a process without one is rejected
// before the hello.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	pool, err := t.pool()
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func checkName(path, name string, faults *Faults) {
	if name == "" || strings.ContainsAny(name, " \t\r\n") {
		faults.add(path, "is empty or has spaces", "write a word, such as \"entry-1\"")
	}
}

func checkAddress(path, address string, faults *Faults) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		faults.add(path, fmt.Sprintf("%q is not IP:port", address), "write an IP address and a port, such as \"10.0.0.1:7000\"")
		return false
	}
	return true
}

// checkOwnAddress also rejects 0.0.0.0 and [::]: the address is announced to other
// processes, which could not connect to it.
func checkOwnAddress(path, address string, faults *Faults) {
	if !checkAddress(path, address, faults) {
		return
	}
	if netip.MustParseAddrPort(address).Addr().IsUnspecified() {
		faults.add(path, fmt.Sprintf("%q is not a single address", address), "write the IP address at which others reach this instance")
	}
}

func checkDistinct(s *Entry, faults *Faults) {
	if s.PeersAddress != "" && s.PeersAddress == s.CallersAddress {
		faults.add("peers_address", "is the same as callers_address", "give each its own port")
	}
	if s.OperatorsAddress != "" && (s.OperatorsAddress == s.CallersAddress || s.OperatorsAddress == s.PeersAddress) {
		faults.add("operators_address", "is the same as another address", "give each its own port")
	}
}

func checkAddresses(path string, addresses []string, faults *Faults) {
	if len(addresses) == 0 {
		faults.add(path, "is empty", "list at least one IP:port")
	}
	for i, address := range addresses {
		checkAddress(fmt.Sprintf("%s[%d]", path, i), address, faults)
	}
}

func checkURLs(path string, urls []string, faults *Faults) {
	if len(urls) == 0 {
		faults.add(path, "is empty", "list at least one base URL, such as \"http://10.0.0.9:9000\"")
	}
	for i, text := range urls {
		checkURL(fmt.Sprintf("%s[%d]", path, i), text, faults)
	}
}

func checkURL(path, text string, faults *Faults) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		faults.add(path, fmt.Sprintf("%q is not a base URL", text), "write one such as \"http://10.0.0.9:9000\"")
	}
}

// secret returns the value that the settings or the named file contain.
func secret(path, value, filePath, file string, faults *Faults) string {
	if (value == "") == (file == "") {
		faults.add(path, fmt.Sprintf("give exactly one of %s and %s", path, filePath), "remove one or add one")
		return value
	}
	if file == "" {
		return value
	}
	data, err := os.ReadFile(file)
	if err != nil {
		faults.add(filePath, err.Error(), "name a file that this process may read")
		return ""
	}
	text := strings.TrimSpace(string(data))
	if text == "" {
		faults.add(filePath, "the file is empty", "write the secret into it")
	}
	return text
}

func checkKey(path, key string, faults *Faults) {
	if key != "" && len(key) < MinKeyLength {
		faults.add(path, fmt.Sprintf("has %d bytes", len(key)), fmt.Sprintf("use at least %d random bytes, the same on each entry", MinKeyLength))
	}
}

func checkTokenHash(hash string, faults *Faults) {
	_, err := hex.DecodeString(hash)
	if err != nil || len(hash) != sha256HexLength {
		faults.add("operator_token_sha256", "is not a hex SHA-256", "write the output of: printf %s TOKEN | sha256sum")
	}
}

func checkAtLeast(path string, value, least int, faults *Faults) {
	if value < least {
		faults.add(path, fmt.Sprintf("is %d", value), fmt.Sprintf("write a whole number of at least %d", least))
	}
}

func checkPositive(path string, value float64, faults *Faults) {
	if value <= 0 {
		faults.add(path, fmt.Sprintf("is %v", value), "write a number above 0")
	}
}

func checkNotNegative(path string, value float64, faults *Faults) {
	if value < 0 {
		faults.add(path, fmt.Sprintf("is %v", value), "write a number that is not below 0")
	}
}

func checkOneOf(path, value string, allowed []string, faults *Faults) {
	if !slices.Contains(allowed, value) {
		faults.add(path, fmt.Sprintf("%q is not a valid value", value), "write one of "+strings.Join(allowed, ", "))
	}
}
