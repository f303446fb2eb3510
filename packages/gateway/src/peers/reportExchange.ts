/** Exchanges reports of crashes with a peer, those that either lacks. */
import type { CrashReports, ReportMark } from '@cardamomladder/fleet';
import { isCovered } from '@cardamomladder/fleet';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from './client';
import { reportAnswer } from './reportFormat';

/** How long a peer may take, ms: as for facts. */
const ANSWER_WITHIN_MS = 400;

/** How far two instances know each other's reports. */
interface Exchanged {
  /** Up to where the peer knows this one's. */
  told: ReportMark | undefined;
  /** Up to where this one knows the peer's. */
  heard: ReportMark | undefined;
}

/** What exchanging needs of the instance. */
export interface ExchangeOptions {
  crashReports: Pick<CrashReports, 'mark' | 'after' | 'hear'>;
  /** True while this instance reaches the store itself. */
  storeReached: () => boolean;
  log: DecisionLog;
}

/** Exchanges reports with the peer at `address` whose own go up to `theirs`; never rejects. */
export type ReportExchange = (address: string, theirs: ReportMark) => Promise<void>;

/** Builds the exchange; it asks nothing of a peer with which there is nothing to exchange. */
export const reportExchange = ({
  crashReports,
  storeReached,
  log,
}: ExchangeOptions): ReportExchange => {
  const known = new Map<string, Exchanged>();
  const underWay = new Set<string>();

  const exchange = async (address: string, { told, heard }: Exchanged): Promise<void> => {
    const mine = crashReports.after(told);
    const raw = await peerClient(address, ANSWER_WITHIN_MS).reports.mutate({
      after: heard,
      reports: mine.reports,
    });
    const theirs = reportAnswer.parse(raw);
    const isLatest = isCovered(crashReports.mark, mine.mark);
    crashReports.hear(theirs.reports, storeReached());
    // What was just heard of the peer need not go back to it.
    const hasNews = isLatest && !isCovered(crashReports.mark, mine.mark);
    known.set(address, { told: hasNews ? crashReports.mark : mine.mark, heard: theirs.mark });
  };

  return async (address, theirs) => {
    const exchanged = known.get(address) ?? { told: undefined, heard: undefined };
    const isTold = isCovered(crashReports.mark, exchanged.told);
    if ((isTold && isCovered(theirs, exchanged.heard)) || underWay.has(address)) return;
    underWay.add(address);
    try {
      await exchange(address, exchanged);
    } catch (error) {
      log.write('crash-report', undefined, {
        event: 'not exchanged',
        peer: address,
        reason: (error as Error).message,
      });
    } finally {
      underWay.delete(address);
    }
  };
};
