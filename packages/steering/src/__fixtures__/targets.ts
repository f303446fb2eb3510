/** Builds target states for steering tests. */
import { failureDomainName, regionName, targetId } from '@cardamomladder/types';
import type { TargetView } from '../service';
import type { TimedLoadReport } from '../headroom';

/** An eligible target in `region`, in failure domain `<region>-a`. */
export const targetView = (
  id: string,
  region: string,
  slots: number,
  report?: TimedLoadReport,
): TargetView => ({
  id: targetId(id),
  region: regionName(region),
  failureDomain: failureDomainName(`${region}-a`),
  address: '127.0.0.1:1',
  slots,
  leaving: false,
  firstSeen: 0,
  avoidUntil: 0,
  load: { slots, localInflight: 0, report },
});
