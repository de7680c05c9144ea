# Fronts of a director beside the platform's. Copy this to deploy/fronts.star, or name it with --fronts, and reload
# (SIGHUP). Without that file nothing is opened and nothing changes. docs/operators-grpc.md tells each setting.

grpc(
    listen = "127.0.0.1:7900",
    # A relay's node id is this and its number, as relay-17.
    node_prefix = "relay-",
    # Ids that follow no rule.
    node_names = {},
    # Ask hosts for util and queue out of band (ORCA), at the address that the list gives.
    ask_hosts = False,
)

# Installs without the platform's relay:
# platform(relay = False)
