"""What can go wrong with TLS, each failure by its own name, and what each means for a call.

The names stand in the log and in outcomes; operators and tests rely on them. Alerts are those of RFC 8446,
section 6; verification codes are those of OpenSSL's x509_vfy.h.
"""

from __future__ import annotations

import ssl
from enum import Enum


class Failure(Enum):
    """One name each. The second value says that trying again soon cannot help: someone must change
    something.
    """

    UNTRUSTED = ("untrusted", True)  # no chain to a trusted root
    WRONG_NAME = ("wrong-name", True)
    EXPIRED = ("expired", True)
    NOT_YET_VALID = ("not-yet-valid", True)
    REVOKED = ("revoked", True)
    CRL_UNUSABLE = ("crl-unusable", True)  # none for this issuer, out of date, or not signed by it
    WRONG_USE = ("wrong-use", True)  # key usage, or not a server's certificate
    WEAK = ("weak", True)  # a key or signature below the security level
    UNVERIFIED = ("unverified", True)  # any other reason of the verifier's
    PIN_MISMATCH = ("pin-mismatch", True)
    NO_COMMON_VERSION = ("no-common-version", True)
    NO_COMMON_CIPHER = ("no-common-cipher", True)
    NOT_TLS = ("not-tls", True)  # the peer speaks something else
    OUR_CERTIFICATE_REFUSED = ("our-certificate-refused", True)
    NAME_UNKNOWN_THERE = ("name-unknown-there", True)  # the server has no such name
    HANDSHAKE_REFUSED = ("handshake-refused", True)  # any other fatal alert before the handshake was over
    STALLED = ("stalled", False)
    UNREACHABLE = ("unreachable", False)  # TCP did not come up
    HANDSHAKE_CUT = ("handshake-cut", False)  # the connection ended in the middle of it
    OVERLOADED = ("overloaded", False)  # internal_error before the handshake was over
    TRUNCATED = ("truncated", False)  # an end without close_notify, which anyone on the way can make
    ALERT = ("alert", False)  # a fatal alert on an open connection
    SPOILT = ("spoilt", False)  # records that cannot be decrypted or are not allowed here

    @property
    def label(self) -> str:
        """As it stands in the log."""
        return self.value[0]

    @property
    def lasting(self) -> bool:
        """No outage: probing it again and again would tell nothing new."""
        return self.value[1]


class TlsError(ConnectionError):
    """A TLS connection that did not come up or did not last; `reason` is OpenSSL's own word."""

    def __init__(self, failure: Failure, reason: str = "") -> None:
        super().__init__(f"tls: {failure.label}" + (f" ({reason})" if reason else ""))
        self.failure, self.reason = failure, reason


VERIFY = {
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
# Alerts by which a server refuses our certificate: OpenSSL's names end with one of these (RFC 8446, 6.2).
CERTIFICATE_ALERTS = (
    "ALERT_BAD_CERTIFICATE",
    "ALERT_UNSUPPORTED_CERTIFICATE",
    "ALERT_CERTIFICATE_REVOKED",
    "ALERT_CERTIFICATE_EXPIRED",
    "ALERT_CERTIFICATE_UNKNOWN",
    "ALERT_UNKNOWN_CA",
    "ALERT_CERTIFICATE_REQUIRED",
)
NOT_TLS = ("WRONG_VERSION_NUMBER", "HTTP_REQUEST", "PACKET_LENGTH_TOO_LONG", "RECORD_LAYER_FAILURE")
VERSIONS = ("ALERT_PROTOCOL_VERSION", "UNSUPPORTED_PROTOCOL", "VERSION_TOO_LOW", "NO_PROTOCOLS_AVAILABLE")
CIPHERS = ("ALERT_INSUFFICIENT_SECURITY", "NO_CIPHERS_AVAILABLE", "NO_SHARED_CIPHER", "WRONG_CIPHER_RETURNED")
WEAK = ("DH_KEY_TOO_SMALL", "EE_KEY_TOO_SMALL", "CA_MD_TOO_WEAK", "BAD_ECPOINT")


def of_handshake(error: ssl.SSLError) -> TlsError:
    """What an error of OpenSSL's means before the handshake is over."""
    if isinstance(error, ssl.SSLCertVerificationError):
        failure = VERIFY.get(int(error.verify_code), Failure.UNVERIFIED)
        return TlsError(failure, str(error.verify_message))
    reason = str(error.reason or error)
    if reason.endswith(CERTIFICATE_ALERTS):
        return TlsError(Failure.OUR_CERTIFICATE_REFUSED, reason)
    for words, failure in (
        (NOT_TLS, Failure.NOT_TLS),
        (VERSIONS, Failure.NO_COMMON_VERSION),
        (CIPHERS, Failure.NO_COMMON_CIPHER),
        (WEAK, Failure.WEAK),
        (("UNRECOGNIZED_NAME",), Failure.NAME_UNKNOWN_THERE),
        (("ALERT_INTERNAL_ERROR", "ALERT_USER_CANCELLED"), Failure.OVERLOADED),
    ):
        if reason.endswith(words):
            return TlsError(failure, reason)
    return TlsError(Failure.HANDSHAKE_REFUSED if _alert(reason) else Failure.SPOILT, reason)


def _alert(reason: str) -> bool:
    """Whether it names an alert that came; OpenSSL calls most of them so, and the rest by the version."""
    return "ALERT" in reason or reason.startswith(("TLSV1_", "TLSV13_"))


def of_connection(error: ssl.SSLError, answered: bool, version: str, own_certificate: bool) -> TlsError:
    """What an error means after our handshake was over.

    In TLS 1.3 the client is done before the server has looked at its certificate (RFC 8446, 4.4.4 and
    appendix E.1.2), so the refusal comes after the first request was written. Such an alert is sent before
    the server reads a byte of that request, hence proves that it never ran: if it is one of the certificate
    alerts, nothing has been answered on this connection before, and we sent a certificate or the alert says
    that one is missing. Any other alert proves nothing.
    """
    reason = str(error.reason or error)
    ours = own_certificate or reason.endswith("ALERT_CERTIFICATE_REQUIRED")
    if ours and reason.endswith(CERTIFICATE_ALERTS) and not answered and version == "TLSv1.3":
        return TlsError(Failure.OUR_CERTIFICATE_REFUSED, reason)
    if _alert(reason):
        return TlsError(Failure.ALERT, reason)
    return TlsError(Failure.SPOILT, reason)
