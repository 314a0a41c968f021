package settings

// Store holds the connection settings of the platform's table service and object store.
type Store struct {
	// TableEndpoint is the URL of the DynamoDB API.
	TableEndpoint string `json:"table_endpoint"`
	// ObjectEndpoint is the URL of the S3 API.
	ObjectEndpoint string `json:"object_endpoint"`
	Region         string `json:"region"`
	Table          string `json:"table"`
	Bucket         string `json:"bucket"`
	// AccessKeyEnv and SecretKeyEnv are the names of the environment variables that hold the credentials.
	AccessKeyEnv string `json:"access_key_env"`
	SecretKeyEnv string `json:"secret_key_env"`
}

// Identity identifies the VM that a process runs on and the VM's location.
type Identity struct {
	VM     string `json:"vm"`
	Cell   string `json:"cell"`
	Region string `json:"region"`
	Domain string `json:"failure_domain"`
}

// Peer is a statically configured VM that is known at startup. The platform's VM list adds further VMs.
type Peer struct {
	VM string `json:"vm"`
	// Router is the host:port address at which the VM's router accepts connections from peers.
	Router string `json:"router"`
	// Controller is the host:port address of the VM's controller candidate.
	Controller string `json:"controller"`
	Cell       string `json:"cell"`
}

// Drain holds the delay and the time limit of a graceful shutdown.
type Drain struct {
	// BalancerLagMillis is the delay between failing the readiness check and refusing new connections.
	BalancerLagMillis int64 `json:"balancer_lag_ms"`
	// TimeoutMillis is the maximum wait for requests in flight.
	TimeoutMillis int64 `json:"timeout_ms"`
}

// Router holds the static settings of blrouter.
type Router struct {
	Identity
	// CallerListen, PeerListen and AdminListen are listen addresses in the form host:port.
	CallerListen string `json:"caller_listen"`
	PeerListen   string `json:"peer_listen"`
	AdminListen  string `json:"admin_listen"`
	Peers        []Peer `json:"peers"`
	// VMListURL is the URL of the platform's VM list. It is empty if the platform provides none.
	VMListURL string `json:"vm_list_url"`
	Store     Store  `json:"store"`
	Drain     Drain  `json:"drain"`
	LogLevel  string `json:"log_level"`
	// RecordFile is the file to which decisions are recorded. Recording is disabled if it is empty.
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
