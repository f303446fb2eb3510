/** Target views for steering tests: one live target with fixed slots. */
import { failureDomainName, regionName, targetId } from '@cardamomladder/types';
import type { TargetView } from '../service';
import type { LoadReport } from '../headroom';

/** A live, warm target `id` in `region` (failure domain `<region>-a`). */
export const targetView = (
  id: string,
  region: string,
  slots: number,
  report?: LoadReport,
): TargetView => ({
  id: targetId(id),
  region: regionName(region),
  failureDomain: failureDomainName(`${region}-a`),
  address: '127.0.0.1:1',
  slots,
  leaving: false,
  firstSeen: 0,
  avoidUntil: 0,
  load: { slots, local: 0, report },
});
