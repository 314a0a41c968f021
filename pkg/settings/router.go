package settings

// Store says how to reach the platform's table service and object store.
type Store struct {
	// TableEndpoint is the URL of the DynamoDB API.
	TableEndpoint string `json:"table_endpoint"`
	// ObjectEndpoint is the URL of the S3 API.
	ObjectEndpoint string `json:"object_endpoint"`
	Region         string `json:"region"`
	Table          string `json:"table"`
	Bucket         string `json:"bucket"`
	// AccessKeyEnv and SecretKeyEnv name the environment variables with the credentials.
	AccessKeyEnv string `json:"access_key_env"`
	SecretKeyEnv string `json:"secret_key_env"`
}

// Identity is what a process learns about its VM from its settings.
type Identity struct {
	VM     string `json:"vm"`
	Cell   string `json:"cell"`
	Region string `json:"region"`
	Domain string `json:"failure_domain"`
}

// Peer names another VM at start; the platform's VM list adds to these.
type Peer struct {
	VM string `json:"vm"`
	// Router is the peer address of the VM's router, host:port.
	Router string `json:"router"`
	// Controller is the address of the VM's controller candidate, host:port.
	Controller string `json:"controller"`
	Cell       string `json:"cell"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// BalancerLagMillis is waited out between failing readiness and refusing connections.
	BalancerLagMillis int64 `json:"balancer_lag_ms"`
	// TimeoutMillis bounds the wait for exchanges in flight.
	TimeoutMillis int64 `json:"timeout_ms"`
}

// Router holds the static settings of blrouter.
type Router struct {
	Identity
	// CallerListen, PeerListen and AdminListen are host:port.
	CallerListen string `json:"caller_listen"`
	PeerListen   string `json:"peer_listen"`
	AdminListen  string `json:"admin_listen"`
	Peers        []Peer `json:"peers"`
	// VMListURL is the platform's list of VMs; empty if there is none.
	VMListURL string `json:"vm_list_url"`
	Store     Store  `json:"store"`
	Drain     Drain  `json:"drain"`
	LogLevel  string `json:"log_level"`
	// RecordFile receives recorded decisions; empty disables recording.
	RecordFile string `json:"record_file"`
}

// Controller holds the static settings of blcontroller.
type Controller struct {
	Identity
	Listen      string `json:"listen"`
	AdminListen string `json:"admin_listen"`
	Peers       []Peer `json:"peers"`
	VMListURL   string `json:"vm_list_url"`
	Store       Store  `json:"store"`
	LogLevel    string `json:"log_level"`
	RecordFile  string `json:"record_file"`
}
