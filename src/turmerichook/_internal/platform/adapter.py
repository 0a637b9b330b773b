"""Builds the platform adapter that the entry process uses."""

from turmerichook._internal.intake import daemon
from turmerichook._internal.intake import operators
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import advisor_calls
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import settings_file
from turmerichook._internal.platform import store_calls
from turmerichook._internal.platform import worker_calls


class RegistryFormat:
    """Decodes the workers' registry entries in the platform's store."""

    prefix = documents.WORKER_PREFIX

    def decode(self, key: str, value: bytes) -> deployment.WorkerEntry:
        return documents.decode_worker_entry(key, value)

    def worker(self, key: str) -> ids.WorkerId:
        return ids.WorkerId(key.removeprefix(self.prefix))


class OperatorFormat:
    """Decodes the operators' documents in the platform's store."""

    prefix = documents.OPERATOR_PREFIX

    def decode(
        self, key: str, value: bytes
    ) -> deployment.Configuration | operators.ZoneClosed | None:
        if key == documents.CONFIGURATION_KEY:
            return documents.decode_configuration(value)
        if key.startswith(documents.EVACUATION_PREFIX):
            zone = key.removeprefix(documents.EVACUATION_PREFIX)
            return operators.ZoneClosed(zone=ids.ZoneId(zone))
        return None


def bundle() -> daemon.PlatformAdapter:
    """Return the platform's formats and calls as one adapter object."""
    return daemon.PlatformAdapter(
        load_settings=settings_file.load,
        open_storage=lambda address: store_calls.PlatformStorage(
            address=address
        ),
        open_workers=worker_calls.PlatformWorkers,
        open_advisor=lambda address: advisor_calls.PlatformAdvisor(
            address=address
        ),
        call_format=caller_calls,
        registry_format=RegistryFormat(),
        operator_format=OperatorFormat(),
        ready_path=caller_calls.READY_PATH,
        metrics_path=caller_calls.METRICS_PATH,
    )
