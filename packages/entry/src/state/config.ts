/**
 * Watches the operators' document in the platform's key-value store. A
 * document is applied only if it is valid and its revision is higher than the
 * current one, so a delayed watch response, a replayed event or a stale writer
 * cannot revert the configuration. While the store is unreachable, the last
 * valid document stays in effect and the entry keeps serving.
 */
import { BehaviorSubject } from 'rxjs';
import type { Subscription } from 'rxjs';
import type { Document } from '@cardamomladder/document';
import { parseDocument } from '@cardamomladder/document';
import type { KvClient } from '@cardamomladder/platform-kv';
import { watchPrefix } from '@cardamomladder/platform-kv';
import { logger } from '@cardamomladder/telemetry';

const log = logger('entry:config');

/** The current document (undefined until one is loaded) and the state of the store. */
export interface ConfigState {
  document?: Document;
  storeReachable: boolean;
  rejected: number;
}

/** Watches `key`; `state` emits after every watch update. */
export const watchConfig = (
  kv: KvClient,
  key: string,
  options: { waitMs: number; random?: () => number },
): { state: BehaviorSubject<ConfigState>; stop: () => void } => {
  const state = new BehaviorSubject<ConfigState>({ storeReachable: false, rejected: 0 });
  const subscription: Subscription = watchPrefix(kv, key, {
    waitMs: options.waitMs,
    random: options.random,
  }).subscribe((update) => {
    const current = state.value;
    if (update.kind === 'down') {
      if (current.storeReachable || current.document === undefined) {
        log.warn('platform KV unreachable; keeping the document in force', {
          revision: current.document?.revision,
          reason: update.failure.message,
        });
      }
      state.next({ ...current, storeReachable: false });
      return;
    }
    const item = update.items.filter((i) => i.key === key && i.value !== null).at(-1);
    if (!item?.value) {
      state.next({ ...current, storeReachable: true });
      return;
    }
    const parsed = parseDocument(item.value);
    if (parsed.isErr()) {
      log.error('document in the store is invalid; keeping the one in force', {
        reason: parsed.error.message,
      });
      state.next({ ...current, storeReachable: true, rejected: current.rejected + 1 });
      return;
    }
    const next = parsed.value;
    if (current.document && next.revision <= current.document.revision) {
      state.next({ ...current, storeReachable: true });
      return;
    }
    log.info('document in force', { revision: next.revision });
    state.next({ ...current, document: next, storeReachable: true });
  });
  return {
    state,
    stop: () => {
      subscription.unsubscribe();
      state.complete();
    },
  };
};
