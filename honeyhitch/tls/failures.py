"""The failures of TLS connections, each with its own name, and what each means for a call.

The names stand in the log and in outcomes; operators rely on them. Alerts are those of RFC 8446, section 6;
verification codes are those of OpenSSL's x509_vfy.h.
"""

from __future__ import annotations

import ssl
from enum import Enum

TLS_1_3 = "TLSv1.3"  # as OpenSSL names it


class Failure(Enum):
    """A name in the log, and whether the failure is lasting: only a change of configuration can help."""

    UNTRUSTED = ("untrusted", True)  # no chain to a trusted root
    WRONG_NAME = ("wrong-name", True)
    EXPIRED = ("expired", True)
    NOT_YET_VALID = ("not-yet-valid", True)
    REVOKED = ("revoked", True)
    CRL_UNUSABLE = ("crl-unusable", True)  # none for this issuer, out of date, or not signed by it
    WRONG_USE = ("wrong-use", True)  # key usage, or not a server's certificate
    WEAK = ("weak", True)  # a key or signature below the security level
    UNVERIFIED = ("unverified", True)  # any other reason of the verifier
    PIN_MISMATCH = ("pin-mismatch", True)
    NO_COMMON_VERSION = ("no-common-version", True)
    NO_COMMON_CIPHER = ("no-common-cipher", True)
    NOT_TLS = ("not-tls", True)  # the peer speaks another protocol
    OUR_CERTIFICATE_REJECTED = ("our-certificate-refused", True)
    NAME_UNKNOWN_TO_SERVER = ("name-unknown-there", True)
    HANDSHAKE_REJECTED = ("handshake-refused", True)  # any other fatal alert during the handshake
    STALLED = ("stalled", False)  # the handshake took too long
    UNREACHABLE = ("unreachable", False)  # no TCP connection
    HANDSHAKE_CUT = ("handshake-cut", False)  # the connection ended during the handshake
    OVERLOADED = ("overloaded", False)  # internal_error during the handshake
    TRUNCATED = ("truncated", False)  # an end without close_notify, which anyone on the way can cause
    ALERT = ("alert", False)  # a fatal alert on an open connection
    MALFORMED_RECORD = ("spoilt", False)  # cannot be decrypted, or is not allowed here

    @property
    def label(self) -> str:
        """The name in the log."""
        return self.value[0]

    @property
    def lasting(self) -> bool:
        """Not an outage: probing again soon would show nothing new."""
        return self.value[1]


class TlsError(ConnectionError):
    """A TLS connection that could not be opened or that broke; `reason` is OpenSSL's own text."""

    def __init__(self, failure: Failure, reason: str = "") -> None:
        super().__init__(f"tls: {failure.label}" + (f" ({reason})" if reason else ""))
        self.failure = failure
        self.reason = reason


# OpenSSL's X509_V_ERR_* codes.
FAILURE_BY_VERIFY_CODE = {
    9: Failure.NOT_YET_VALID,
    10: Failure.EXPIRED,
    23: Failure.REVOKED,
    3: Failure.CRL_UNUSABLE,
    8: Failure.CRL_UNUSABLE,
    11: Failure.CRL_UNUSABLE,
    12: Failure.CRL_UNUSABLE,
    33: Failure.CRL_UNUSABLE,
    26: Failure.WRONG_USE,
    32: Failure.WRONG_USE,
    79: Failure.WRONG_USE,
    62: Failure.WRONG_NAME,
    64: Failure.WRONG_NAME,
    66: Failure.WEAK,
    67: Failure.WEAK,
    68: Failure.WEAK,
    **dict.fromkeys((2, 7, 18, 19, 20, 21, 24, 25, 27, 28), Failure.UNTRUSTED),
}
# Alerts by which a server rejects our certificate: OpenSSL's reasons end with one of these (RFC 8446, 6.2).
CERTIFICATE_ALERTS = (
    "ALERT_BAD_CERTIFICATE",
    "ALERT_UNSUPPORTED_CERTIFICATE",
    "ALERT_CERTIFICATE_REVOKED",
    "ALERT_CERTIFICATE_EXPIRED",
    "ALERT_CERTIFICATE_UNKNOWN",
    "ALERT_UNKNOWN_CA",
    "ALERT_CERTIFICATE_REQUIRED",
)
CERTIFICATE_REQUIRED = "ALERT_CERTIFICATE_REQUIRED"
NOT_TLS_REASONS = ("WRONG_VERSION_NUMBER", "HTTP_REQUEST", "PACKET_LENGTH_TOO_LONG", "RECORD_LAYER_FAILURE")
VERSION_REASONS = (
    "ALERT_PROTOCOL_VERSION",
    "UNSUPPORTED_PROTOCOL",
    "VERSION_TOO_LOW",
    "NO_PROTOCOLS_AVAILABLE",
)
CIPHER_REASONS = (
    "ALERT_INSUFFICIENT_SECURITY",
    "NO_CIPHERS_AVAILABLE",
    "NO_SHARED_CIPHER",
    "WRONG_CIPHER_RETURNED",
)
WEAK_REASONS = ("DH_KEY_TOO_SMALL", "EE_KEY_TOO_SMALL", "CA_MD_TOO_WEAK", "BAD_ECPOINT")
UNKNOWN_NAME_REASONS = ("UNRECOGNIZED_NAME",)
OVERLOAD_REASONS = ("ALERT_INTERNAL_ERROR", "ALERT_USER_CANCELLED")
# The failure of a handshake by the end of OpenSSL's reason; the first match counts.
FAILURE_BY_REASON = (
    (CERTIFICATE_ALERTS, Failure.OUR_CERTIFICATE_REJECTED),
    (NOT_TLS_REASONS, Failure.NOT_TLS),
    (VERSION_REASONS, Failure.NO_COMMON_VERSION),
    (CIPHER_REASONS, Failure.NO_COMMON_CIPHER),
    (WEAK_REASONS, Failure.WEAK),
    (UNKNOWN_NAME_REASONS, Failure.NAME_UNKNOWN_TO_SERVER),
    (OVERLOAD_REASONS, Failure.OVERLOADED),
)


def classify_handshake_error(error: ssl.SSLError) -> TlsError:
    """What an error of OpenSSL means during the handshake."""
    if isinstance(error, ssl.SSLCertVerificationError):
        failure = FAILURE_BY_VERIFY_CODE.get(int(error.verify_code), Failure.UNVERIFIED)
        return TlsError(failure, str(error.verify_message))
    reason = str(error.reason or error)
    for endings, failure in FAILURE_BY_REASON:
        if reason.endswith(endings):
            return TlsError(failure, reason)
    return TlsError(Failure.HANDSHAKE_REJECTED if _is_alert(reason) else Failure.MALFORMED_RECORD, reason)


def _is_alert(reason: str) -> bool:
    """Whether it names a received alert; OpenSSL calls most of them so, and the rest by the version."""
    return "ALERT" in reason or reason.startswith(("TLSV1_", "TLSV13_"))


def classify_connection_error(
    error: ssl.SSLError, answered: bool, version: str, own_certificate: bool
) -> TlsError:
    """What an error of OpenSSL means after our side of the handshake was complete.

    In TLS 1.3 the client is done before the server has checked its certificate (RFC 8446, 4.4.4 and appendix
    E.1.2), so a rejection comes after the first request was written. The server sends such an alert before
    it reads a byte of that request, so it proves that the request was not executed, if it is one of the
    certificate alerts, if nothing was received on this connection before (`answered`), and if we sent a
    certificate (`own_certificate`) or the alert says that one is missing. Any other alert proves nothing.
    """
    reason = str(error.reason or error)
    about_certificate = own_certificate or reason.endswith(CERTIFICATE_REQUIRED)
    rejected = about_certificate and reason.endswith(CERTIFICATE_ALERTS)
    if rejected and not answered and version == TLS_1_3:
        return TlsError(Failure.OUR_CERTIFICATE_REJECTED, reason)
    return TlsError(Failure.ALERT if _is_alert(reason) else Failure.MALFORMED_RECORD, reason)
