/** Logs responses of peers that took long to transfer. */
import type { Transfer } from '@cardamomladder/http-json';
import type { DecisionLog } from '../decisionLog';

/** Duration above which a transfer is logged, ms: the interval between queries for records and a trip between any two regions. */
const SLOW_TRANSFER_MS = 400;

/** Creates the function that logs a slow transfer from `peer`. */
export const logSlowTransfer =
  (log: Pick<DecisionLog, 'write'>, peer: string) =>
  ({ bytes, ms }: Transfer): void => {
    if (ms > SLOW_TRANSFER_MS)
      log.write('store', undefined, { event: 'slow transfer', peer, bytes, ms });
  };
