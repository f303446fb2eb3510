/** `cardamomladder entry --settings FILE`: runs one entry daemon until SIGTERM or SIGINT. */
import { startEntry } from '@cardamomladder/entry';
import { loadEntrySettings } from '@cardamomladder/settings';
import { decodeSourceMap, enableLogs, installTracing, logger } from '@cardamomladder/telemetry';

const log = logger('cli');

/** Starts the entry daemon; resolves with the exit code after a graceful shutdown. */
export const entryCommand = async (settingsFile: string): Promise<number> => {
  decodeSourceMap();
  const loaded = await loadEntrySettings(settingsFile);
  if (loaded.isErr()) {
    console.error(loaded.error.message);
    return 2;
  }
  const settings = loaded.value;
  enableLogs(process.env.DEBUG ?? settings.log);
  installTracing();
  const entry = await startEntry(settings, { processMetrics: true });
  console.log(JSON.stringify({ id: settings.id, address: entry.address }));
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  log.info('planned stop: draining', { id: settings.id });
  await entry.stop();
  return 0;
};
