"""Hypothesis strategies for configuration changes and change sets."""

from hypothesis import strategies as st

from ebonycleat import Priority
from ebonycleat.internal.version import records
from tests.configuration_records import sha256_hex

names = st.sampled_from(['a', 'b-1', 'team', 'x.y_z'])
digests = st.sampled_from([sha256_hex(key) for key in '1234'])
quantities = st.floats(0, 1e12, allow_subnormal=False)
paths = st.sampled_from(['/', '/map', '/map/', '/map/tiles'])
weights = st.dictionaries(
    names,
    st.floats(1e-3, 1e6),
    min_size=1,
    max_size=3,
).map(lambda weight_by_zone: tuple(sorted(weight_by_zone.items())))
routes = st.builds(
    records.PutRoute,
    route=names,
    service=names,
    methods=st.sampled_from([('GET',), ('POST', 'GET')]),
    path_prefix=paths,
    priority=st.sampled_from(Priority),
    idempotent=st.booleans(),
    retry_limit=st.integers(0, 20),
    timeout_ms=st.integers(1, 3_600_000),
    open_to_all=st.booleans(),
)
teams = st.builds(records.PutTeam, names, quantities, quantities, weights)
keys = st.builds(records.PutKey, digests, names)
withdrawals = st.one_of(
    st.builds(records.WithdrawTeam, names),
    st.builds(records.WithdrawKey, digests),
    st.builds(records.WithdrawRoute, names),
)
changes = st.one_of(
    # A fixed team name, so that several change sets put the same team and keys
    # often refer to a team that exists.
    st.builds(
        records.PutTeam,
        st.just('a'),
        quantities,
        quantities,
        st.just((('z', 1.0),)),
    ),
    teams,
    keys,
    routes,
    withdrawals,
    st.builds(records.FenceNode, names),
)
change_sets = st.builds(
    records.ChangeSet,
    st.integers(0, 30).map('op{}'.format),
    names,
    st.floats(0, 1e10),
    st.one_of(
        st.just(()),
        st.lists(
            st.tuples(names.map('team:{}'.format), st.integers(0, 9)),
            max_size=1,
        ).map(tuple),
    ),
    st.lists(changes, min_size=1, max_size=3).map(tuple),
)
