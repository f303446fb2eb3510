/**
 * The entry's view of the fleet: one `ServiceSteering` per service of the
 * current document, each with the service's targets from the member list. The
 * member list is delayed, so a target that responds that it is shutting down
 * (503 `x-not-run: draining`) is marked as leaving before the list shows it.
 */
import type { Document } from '@cardamomladder/document';
import type { Member } from '@cardamomladder/member-list';
import type { RegionReserves } from '@cardamomladder/steering';
import { ServiceSteering } from '@cardamomladder/steering';
import type { RegionName, ServiceName } from '@cardamomladder/types';
import { failureDomainName, regionName, serviceName, targetId } from '@cardamomladder/types';

const reservesOf = (document: Document): RegionReserves =>
  new Map(document.regions.map((r) => [regionName(r.name), r.reserve]));

/** Steering of all services at one entry. */
export class Fleet {
  readonly services = new Map<ServiceName, ServiceSteering>();

  private members: Member[] = [];

  private documentRevision = 0;

  /** Revision of the last applied document; 0 before the first. */
  get revision(): number {
    return this.documentRevision;
  }

  /** Applies a document: adds, updates and removes services. */
  applyDocument(document: Document): void {
    const reserves = reservesOf(document);
    const names = new Set(document.services.map((s) => serviceName(s.name)));
    document.services.forEach((spec) => {
      const existing = this.services.get(serviceName(spec.name));
      if (existing) existing.setSpec(spec, reserves);
      else this.services.set(serviceName(spec.name), new ServiceSteering(spec, reserves));
    });
    [...this.services.keys()].filter((n) => !names.has(n)).forEach((n) => this.services.delete(n));
    this.documentRevision = document.revision;
    this.applyMembers(this.members, Date.now());
  }

  /**
   * Applies a member list. New targets start their warm-up at `now`; targets
   * that are no longer listed are removed (their requests in flight still
   * complete). `leaving` stays set until the target is removed, since a delayed
   * list may still show a target as live after it reported that it is leaving.
   */
  applyMembers(members: Member[], now: number): void {
    this.members = members;
    this.services.forEach((steering, name) => {
      const listed = new Map(
        members.filter((m) => m.service === name).map((m) => [targetId(m.id), m]),
      );
      [...steering.targets.keys()]
        .filter((id) => !listed.has(id))
        .forEach((id) => steering.targets.delete(id));
      listed.forEach((member, id) => {
        const existingTarget = steering.targets.get(id);
        if (existingTarget) {
          existingTarget.leaving = existingTarget.leaving || member.state === 'leaving';
          existingTarget.slots = member.slots;
          existingTarget.load.slots = member.slots;
          existingTarget.address = member.address;
          return;
        }
        steering.targets.set(id, {
          id,
          region: regionName(member.region),
          failureDomain: failureDomainName(member.failureDomain),
          address: member.address,
          slots: member.slots,
          leaving: member.state === 'leaving',
          firstSeen: now,
          avoidUntil: 0,
          load: { slots: member.slots, localInflight: 0 },
        });
      });
    });
  }

  /** Advances every service's split to `now`. */
  tick(now: number): void {
    this.services.forEach((s) => s.tick(now));
  }

  /** Headroom per region of every service. */
  headroomByService(now: number): Map<ServiceName, Map<RegionName, number>> {
    return new Map([...this.services].map(([name, s]) => [name, s.headroomByRegion(now)]));
  }
}
