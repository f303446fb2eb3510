/** Exchanges the crash reports that this instance or a peer lacks. */
import type { CrashReports, ReportCursor } from '@cardamomladder/fleet';
import { hasAllReports } from '@cardamomladder/fleet';
import { whileProgressing } from '@cardamomladder/http-json';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from './client';
import { reportsResponse } from './reportFormat';

/** Limits of a peer's response: the same as for records. */
const LIMITS = whileProgressing(400);

/** Progress of the exchange with one peer. */
interface ExchangeState {
  /** The cursor up to which the peer has this instance's reports. */
  sentCursor: ReportCursor | undefined;
  /** The cursor up to which this instance has the peer's reports. */
  receivedCursor: ReportCursor | undefined;
}

/** Dependencies of the exchange. */
export interface ExchangeOptions {
  crashReports: Pick<CrashReports, 'mark' | 'after' | 'receive'>;
  /** True while this instance itself reaches the store. */
  storeReached: () => boolean;
  log: DecisionLog;
}

/** Exchanges reports with the peer at `address`, whose reports go up to the cursor `theirs`; never rejects. */
export type ReportExchange = (address: string, theirs: ReportCursor) => Promise<void>;

/** Creates the exchange; it sends no request to a peer if neither side has new reports. */
export const reportExchange = ({
  crashReports,
  storeReached,
  log,
}: ExchangeOptions): ReportExchange => {
  const stateByAddress = new Map<string, ExchangeState>();
  const inProgress = new Set<string>();

  const exchange = async (
    address: string,
    { sentCursor, receivedCursor }: ExchangeState,
  ): Promise<void> => {
    const own = crashReports.after(sentCursor);
    const raw = await peerClient(address, LIMITS).reports.mutate({
      after: receivedCursor,
      reports: own.reports,
    });
    const theirs = reportsResponse.parse(raw);
    const isLatest = hasAllReports(crashReports.mark, own.mark);
    crashReports.receive(theirs.reports, storeReached());
    // Reports just received from the peer need not be sent back to it.
    const receivedNew = isLatest && !hasAllReports(crashReports.mark, own.mark);
    stateByAddress.set(address, {
      sentCursor: receivedNew ? crashReports.mark : own.mark,
      receivedCursor: theirs.mark,
    });
  };

  return async (address, theirs) => {
    const state = stateByAddress.get(address) ?? {
      sentCursor: undefined,
      receivedCursor: undefined,
    };
    const isSent = hasAllReports(crashReports.mark, state.sentCursor);
    if ((isSent && hasAllReports(theirs, state.receivedCursor)) || inProgress.has(address)) return;
    inProgress.add(address);
    try {
      await exchange(address, state);
    } catch (error) {
      log.write('crash-report', undefined, {
        event: 'not exchanged',
        peer: address,
        reason: (error as Error).message,
      });
    } finally {
      inProgress.delete(address);
    }
  };
};
