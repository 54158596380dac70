"""Clients of model engines and plain services, and crash quarantine."""

from typing import TYPE_CHECKING

from teaseldale._lazy_exports import LazyExports

if TYPE_CHECKING:
    from teaseldale.upstreams._body_framing import BodyFraming, framing_of
    from teaseldale.upstreams._clients import (
        BaseEngineClient,
        BaseServiceClient,
        EngineCall,
        EngineEvents,
        EngineFinished,
        FailureKind,
        ServiceAnswer,
        ServiceCall,
        UpstreamError,
    )
    from teaseldale.upstreams._connection_end import (
        SURVIVAL_MS,
        BaseProcessWitness,
        BaseWitnessUse,
        ConnectionEnd,
        EndFinding,
    )
    from teaseldale.upstreams._connector import (
        BaseConnector,
        DirectConnector,
        RunnerChannel,
    )
    from teaseldale.upstreams._crash_history import Suspect
    from teaseldale.upstreams._crash_suspects import (
        CRASH_EXPIRY_MS,
        CrashSuspects,
        ReportedCrash,
        SuspectState,
    )
    from teaseldale.upstreams._event_size import (
        OversizedEventError,
        check_partial_event,
    )
    from teaseldale.upstreams._fingerprint import fingerprint_of
    from teaseldale.upstreams._http_connection import UpstreamPool
    from teaseldale.upstreams._http_engine import (
        HttpEngineClient,
        UpstreamRejectedError,
    )
    from teaseldale.upstreams._http_service import HttpServiceClient
    from teaseldale.upstreams._listener_probe import (
        HeldConnection,
        ListenerProbe,
        ProbeOutcome,
        probe_listener,
    )
    from teaseldale.upstreams._process_inquiry import (
        BaseProcessInquiry,
        OptionsInquiry,
        Sender,
    )
    from teaseldale.upstreams._quarantine import (
        CrashQuarantine,
    )
    from teaseldale.upstreams._quarantine_interface import (
        BaseQuarantine,
        NoQuarantine,
    )
    from teaseldale.upstreams._reports import (
        BaseRunnerReports,
        CacheChange,
        CacheChanges,
        HttpRunnerReports,
        LoadReport,
    )
    from teaseldale.upstreams._response_protocol import ResponseProtocol
    from teaseldale.upstreams._response_status import check_status
    from teaseldale.upstreams._runner_connections import (
        RunnerAnswer,
        RunnerConnections,
    )
    from teaseldale.upstreams._runner_message import RunnerMessage
    from teaseldale.upstreams._tcp_network import (
        BaseTcpNetwork,
        Listener,
        PeerAddress,
        ProtocolT,
        SystemTcpNetwork,
    )
    from teaseldale.upstreams._wire_headers import (
        WireHeaders,
        header_of,
    )

__getattr__ = LazyExports(  # noqa: WPS413
    __name__,
    {
        'teaseldale.upstreams._body_framing': ('BodyFraming', 'framing_of'),
        'teaseldale.upstreams._clients': (
            'BaseEngineClient',
            'BaseServiceClient',
            'EngineCall',
            'EngineEvents',
            'EngineFinished',
            'FailureKind',
            'ServiceAnswer',
            'ServiceCall',
            'UpstreamError',
        ),
        'teaseldale.upstreams._connection_end': (
            'SURVIVAL_MS',
            'BaseProcessWitness',
            'BaseWitnessUse',
            'ConnectionEnd',
            'EndFinding',
        ),
        'teaseldale.upstreams._connector': (
            'BaseConnector',
            'DirectConnector',
            'RunnerChannel',
        ),
        'teaseldale.upstreams._crash_history': ('Suspect',),
        'teaseldale.upstreams._crash_suspects': (
            'CRASH_EXPIRY_MS',
            'CrashSuspects',
            'ReportedCrash',
            'SuspectState',
        ),
        'teaseldale.upstreams._event_size': (
            'OversizedEventError',
            'check_partial_event',
        ),
        'teaseldale.upstreams._fingerprint': ('fingerprint_of',),
        'teaseldale.upstreams._http_connection': ('UpstreamPool',),
        'teaseldale.upstreams._http_engine': (
            'HttpEngineClient',
            'UpstreamRejectedError',
        ),
        'teaseldale.upstreams._http_service': ('HttpServiceClient',),
        'teaseldale.upstreams._listener_probe': (
            'HeldConnection',
            'ListenerProbe',
            'ProbeOutcome',
            'probe_listener',
        ),
        'teaseldale.upstreams._process_inquiry': (
            'BaseProcessInquiry',
            'OptionsInquiry',
            'Sender',
        ),
        'teaseldale.upstreams._quarantine': (
            'CrashQuarantine',
            'CrashSuspects',
        ),
        'teaseldale.upstreams._quarantine_interface': (
            'BaseQuarantine',
            'NoQuarantine',
        ),
        'teaseldale.upstreams._reports': (
            'BaseRunnerReports',
            'CacheChange',
            'CacheChanges',
            'HttpRunnerReports',
            'LoadReport',
        ),
        'teaseldale.upstreams._response_protocol': ('ResponseProtocol',),
        'teaseldale.upstreams._response_status': ('check_status',),
        'teaseldale.upstreams._runner_connections': (
            'RunnerAnswer',
            'RunnerConnections',
        ),
        'teaseldale.upstreams._runner_message': ('RunnerMessage',),
        'teaseldale.upstreams._tcp_network': (
            'BaseTcpNetwork',
            'Listener',
            'PeerAddress',
            'ProtocolT',
            'SystemTcpNetwork',
        ),
        'teaseldale.upstreams._wire_headers': (
            'WireHeaders',
            'header_of',
        ),
    },
)

__all__ = (
    'CRASH_EXPIRY_MS',
    'SURVIVAL_MS',
    'BaseConnector',
    'BaseEngineClient',
    'BaseProcessInquiry',
    'BaseProcessWitness',
    'BaseQuarantine',
    'BaseRunnerReports',
    'BaseServiceClient',
    'BaseTcpNetwork',
    'BaseWitnessUse',
    'BodyFraming',
    'CacheChange',
    'CacheChanges',
    'ConnectionEnd',
    'CrashQuarantine',
    'CrashSuspects',
    'DirectConnector',
    'EndFinding',
    'EngineCall',
    'EngineEvents',
    'EngineFinished',
    'FailureKind',
    'HeldConnection',
    'HttpEngineClient',
    'HttpRunnerReports',
    'HttpServiceClient',
    'Listener',
    'ListenerProbe',
    'LoadReport',
    'RunnerAnswer',
    'RunnerConnections',
    'RunnerMessage',
    'NoQuarantine',
    'OptionsInquiry',
    'OversizedEventError',
    'PeerAddress',
    'ProbeOutcome',
    'ProtocolT',
    'ReportedCrash',
    'ResponseProtocol',
    'RunnerChannel',
    'Sender',
    'ServiceAnswer',
    'ServiceCall',
    'Suspect',
    'SuspectState',
    'SystemTcpNetwork',
    'UpstreamError',
    'UpstreamPool',
    'UpstreamRejectedError',
    'WireHeaders',
    'check_partial_event',
    'check_status',
    'fingerprint_of',
    'framing_of',
    'header_of',
    'probe_listener',
)
