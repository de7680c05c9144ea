//! Counters of streams, with the help text that `/metrics` shows. Operators' monitoring depends on the names and texts.

/// Name and help text of each counter.
pub const COUNTERS: [(&str, &str); 37] = [
    ("streams_opened", "Streams that relays or others opened."),
    (
        "streams_ended",
        "Streams that the director ended, with a status.",
    ),
    (
        "streams_broken",
        "Streams that ended with an error, or that their transport gave up.",
    ),
    (
        "streams_refused",
        "Streams that were refused for who they said they are, or for what they asked.",
    ),
    (
        "streams_nameless",
        "Refused: the first request names no node.",
    ),
    (
        "streams_unknown",
        "Refused: the node names no relay that is known.",
    ),
    (
        "streams_beyond",
        "Refused: a relay beyond those that the settings name.",
    ),
    (
        "streams_zoneless",
        "Refused: the node is in no zone of the settings.",
    ),
    (
        "streams_doubled",
        "Refused: another stream of that relay is alive, or two bear one name.",
    ),
    (
        "streams_replaced",
        "Streams whose relay came back before they were seen to be gone.",
    ),
    (
        "streams_superseded",
        "Streams whose relay has joined by the platform's protocol.",
    ),
    ("streams_crowded", "Streams ended as there were too many."),
    (
        "streams_silent",
        "Streams ended as they had not said who they are in time.",
    ),
    (
        "streams_untaken",
        "Streams ended as nothing that was sent on them was read.",
    ),
    ("tables_sent", "Responses with tables."),
    ("tables_acknowledged", "Responses that were acknowledged."),
    ("tables_refused", "Responses that were refused (NACK)."),
    (
        "tables_repeated",
        "Responses sent again after they were refused.",
    ),
    (
        "answers_given_up",
        "Responses whose answer is not waited for any more, as many later ones were sent.",
    ),
    (
        "nonces_stale",
        "Requests with a nonce that is not the newest: their names are not looked at.",
    ),
    ("nonces_unknown", "Answers to a nonce that waits for none."),
    ("names_unknown", "Names asked for that are no class."),
    (
        "types_unserved",
        "Requests for types of resources that are not served.",
    ),
    ("loads_taken", "Load reports of relays that were believed."),
    ("loads_old", "Load reports that came too late to judge by."),
    (
        "loads_unknown",
        "Load reports skipped: of a cluster that is no class.",
    ),
    (
        "loads_interval",
        "Load reports skipped: no sensible interval.",
    ),
    (
        "loads_figures",
        "Load reports skipped: a figure out of range.",
    ),
    (
        "loads_latency",
        "Load reports skipped: no time of good answers, or one out of range.",
    ),
    (
        "loads_unlisted",
        "Hosts in load reports that no list names.",
    ),
    (
        "loads_stalled",
        "Streams of load reports ended as nothing came for too long.",
    ),
    ("node_dials", "Report streams opened to hosts."),
    (
        "node_losses",
        "Report streams to hosts that came to nothing or were lost.",
    ),
    (
        "node_stalls",
        "Report streams to hosts that stood and said nothing.",
    ),
    (
        "node_restarts",
        "Hosts that started anew while they were asked: what they had said is forgotten.",
    ),
    ("node_reports_taken", "Reports of hosts that were believed."),
    (
        "node_reports_spoilt",
        "Reports of hosts that were skipped: a figure out of range.",
    ),
];
