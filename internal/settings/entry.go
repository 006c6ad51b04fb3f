// Package settings reads the static settings of each program, which a process needs
// before it can reach the log. All other configuration comes from the document that
// operators publish. A file is read strictly and every fault is listed at once.
package settings

// Entry configures sycamore-entry.
type Entry struct {
	// Name is unique among the entries, for operators.
	Name string `json:"name"`
	// Zone is the availability zone that the process runs in.
	Zone string `json:"zone"`
	// CallersAddress (IP:port) is where callers connect, PeersAddress where other
	// entries do, OperatorsAddress where the console and sycamorectl do. The process
	// listens on each and announces it, so it must be an address of this instance.
	CallersAddress   string `json:"callers_address"`
	PeersAddress     string `json:"peers_address"`
	OperatorsAddress string `json:"operators_address"`
	// Platform locates the log and the instance list.
	Platform Platform `json:"platform"`
	// Peers are the initial peer addresses; the instance list adds others.
	Peers []string `json:"peers"`
	// SharedKey authenticates entries to each other and signs stream tokens.
	// Exactly one of SharedKey and SharedKeyFile is set; all entries have the same key.
	SharedKey     string `json:"shared_key"`
	SharedKeyFile string `json:"shared_key_file"`
	// AcceptedKey is a second shared key that other entries may use while the key
	// is changed. At most one of AcceptedKey and AcceptedKeyFile is set.
	AcceptedKey     string `json:"accepted_key"`
	AcceptedKeyFile string `json:"accepted_key_file"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' bearer token.
	OperatorTokenSHA256 string `json:"operator_token_sha256"`
	// TLS protects the links between entries; without it they are plain TCP.
	TLS *TLS `json:"tls"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// Policy is scheduler, shares or alone; the last two are baselines.
	Policy string `json:"policy"`
	// TraceFile records the entry's own traffic for replay: times, sizes, hashes
	// and tiers, no content. If it is empty, nothing is recorded.
	TraceFile string `json:"trace_file"`
}

// Platform locates the services that outlive the processes.
type Platform struct {
	// Log lists base URLs of the log; if one fails, the next is tried.
	Log []string `json:"log"`
	// Instances is the base URL of the instance list.
	Instances string `json:"instances"`
}

// TLS names the certificate files of the links between entries. Both ends present
// a certificate that the CA signed for their IP address.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Console configures sycamore-console.
type Console struct {
	// Address (IP:port) is where browsers connect.
	Address string `json:"address"`
	// Entries are operators' addresses of entries; the first that answers is used.
	Entries []string `json:"entries"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' bearer token. The
	// console stores no token; it forwards the one that the operator logged in with.
	OperatorTokenSHA256 string `json:"operator_token_sha256"`
	// Log lists base URLs of the log. The pages show whether one of them answers.
	Log []string `json:"log"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// Ctl configures sycamorectl.
type Ctl struct {
	// Entries are operators' addresses of entries.
	Entries []string `json:"entries"`
	// Token is the operators' bearer token; exactly one of Token and TokenFile is set.
	Token     string `json:"token"`
	TokenFile string `json:"token_file"`
	// TimeoutMS bounds one call, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
}

// MinKeyLength is the minimum length of a shared key, in bytes: the length of the
// output of the HMAC that it keys.
const MinKeyLength = 32

// DefaultEntry returns the defaults of fields that a file leaves out.
func DefaultEntry() Entry {
	return Entry{LogLevel: "info", Policy: "scheduler"}
}

// DefaultConsole returns the defaults of fields that a file leaves out.
func DefaultConsole() Console {
	return Console{Address: "127.0.0.1:8080", LogLevel: "info"}
}

// DefaultCtl returns the defaults of fields that a file leaves out.
func DefaultCtl() Ctl {
	return Ctl{TimeoutMS: 15000}
}
