"""The failures of TLS connections, whether each is lasting, and how OpenSSL's errors map to them.

The names of the failures appear in the log and in outcomes, and operators rely on them. Alerts are those of
RFC 8446, section 6; verification codes are those of OpenSSL's x509_vfy.h.
"""

from __future__ import annotations

import ssl
from enum import Enum

TLS_1_3 = "TLSv1.3"  # OpenSSL's name of the version


class Failure(Enum):
    """A failure's name in the log, and whether the failure is lasting.

    Only a change of configuration can end a lasting failure.
    """

    UNTRUSTED = ("untrusted", True)  # no chain to a trusted root
    WRONG_NAME = ("wrong-name", True)
    EXPIRED = ("expired", True)
    NOT_YET_VALID = ("not-yet-valid", True)
    REVOKED = ("revoked", True)
    CRL_UNUSABLE = ("crl-unusable", True)  # no CRL of this issuer, out of date, or not signed by the issuer
    WRONG_USE = ("wrong-use", True)  # a key usage forbids this use, or the certificate is not a server's
    WEAK = ("weak", True)  # a key or signature below the security level
    UNVERIFIED = ("unverified", True)  # any other error of the verification
    PIN_MISMATCH = ("pin-mismatch", True)
    NO_COMMON_VERSION = ("no-common-version", True)
    NO_COMMON_CIPHER = ("no-common-cipher", True)
    NOT_TLS = ("not-tls", True)  # the peer speaks another protocol
    OUR_CERTIFICATE_REJECTED = ("our-certificate-refused", True)
    NAME_UNKNOWN_TO_SERVER = ("name-unknown-there", True)
    HANDSHAKE_REJECTED = ("handshake-refused", True)  # any other fatal alert during the handshake
    STALLED = ("stalled", False)  # the handshake timed out
    UNREACHABLE = ("unreachable", False)  # no TCP connection
    HANDSHAKE_CUT = ("handshake-cut", False)  # the connection ended during the handshake
    OVERLOADED = ("overloaded", False)  # internal_error during the handshake
    TRUNCATED = ("truncated", False)  # ended without close_notify, which anyone on the path can cause
    ALERT = ("alert", False)  # a fatal alert on an open connection
    MALFORMED_RECORD = ("spoilt", False)  # a record that cannot be decrypted, or is not allowed now

    @property
    def label(self) -> str:
        """The failure's name in the log and in outcomes."""
        return self.value[0]

    @property
    def lasting(self) -> bool:
        """Whether the failure is lasting and no outage: an early retry would fail in the same way."""
        return self.value[1]


class TlsError(ConnectionError):
    """A TLS connection that could not be opened or that broke; `reason` is mostly OpenSSL's own text."""

    def __init__(self, failure: Failure, reason: str = "") -> None:
        super().__init__(f"tls: {failure.label}" + (f" ({reason})" if reason else ""))
        self.failure = failure
        self.reason = reason


# The failure of a verification by OpenSSL's X509_V_ERR_* code.
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
# The failure of a handshake by the suffix of OpenSSL's reason; the first match counts.
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
    """Return the failure that an OpenSSL error during the handshake means."""
    if isinstance(error, ssl.SSLCertVerificationError):
        failure = FAILURE_BY_VERIFY_CODE.get(int(error.verify_code), Failure.UNVERIFIED)
        return TlsError(failure, str(error.verify_message))
    reason = str(error.reason or error)
    for suffixes, failure in FAILURE_BY_REASON:
        if reason.endswith(suffixes):
            return TlsError(failure, reason)
    return TlsError(Failure.HANDSHAKE_REJECTED if _is_alert(reason) else Failure.MALFORMED_RECORD, reason)


def _is_alert(reason: str) -> bool:
    """Return whether the reason is a received alert: most contain ALERT, the others begin with a version."""
    return "ALERT" in reason or reason.startswith(("TLSV1_", "TLSV13_"))


def classify_connection_error(
    error: ssl.SSLError, answered: bool, version: str, own_certificate: bool
) -> TlsError:
    """Return the failure that an OpenSSL error means after our side of the handshake was complete.

    In TLS 1.3 the client completes the handshake before the server has checked the client's certificate
    (RFC 8446, 4.4.4 and appendix E.1.2), so a rejection arrives after the first request was written. The
    server sends such an alert before it reads a byte of that request. The alert therefore proves that the
    request was not executed if three conditions hold: it is one of the certificate alerts, no plaintext was
    received on this connection before (`answered`), and we sent a certificate (`own_certificate`) or the
    alert says that a certificate is required. Any other alert proves nothing about the request.
    """
    reason = str(error.reason or error)
    about_certificate = own_certificate or reason.endswith(CERTIFICATE_REQUIRED)
    rejected = about_certificate and reason.endswith(CERTIFICATE_ALERTS)
    if rejected and not answered and version == TLS_1_3:
        return TlsError(Failure.OUR_CERTIFICATE_REJECTED, reason)
    return TlsError(Failure.ALERT if _is_alert(reason) else Failure.MALFORMED_RECORD, reason)
