/**
 * The entry's view of the fleet: one `ServiceSteering` per service of the
 * document in force, each holding the targets the member list names for it.
 * The member list lags, so a target that tells us it is leaving (503
 * `x-not-run: draining`) is marked leaving at once, before the list says so.
 */
import type { Document } from '@cardamomladder/document';
import type { Member } from '@cardamomladder/member-list';
import type { Reserves } from '@cardamomladder/steering';
import { ServiceSteering } from '@cardamomladder/steering';
import type { RegionName, ServiceName } from '@cardamomladder/types';
import { failureDomainName, regionName, serviceName, targetId } from '@cardamomladder/types';

const reservesOf = (document: Document): Reserves =>
  new Map(document.regions.map((r) => [regionName(r.name), r.reserve]));

/** All services' steering at one entry. */
export class Fleet {
  readonly services = new Map<ServiceName, ServiceSteering>();

  private members: Member[] = [];

  private documentRevision = 0;

  /** Revision of the document the fleet view was built from (0: none yet). */
  get revision(): number {
    return this.documentRevision;
  }

  /** Puts a document in force: adds, updates and removes services. */
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
   * Takes a new member list. New targets start their warm-up now; targets
   * gone from the list are dropped (their in-flight work still finishes);
   * `leaving` is sticky until the target leaves the list, since a lagging
   * list may still call live a target that told us it is leaving.
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
        const known = steering.targets.get(id);
        if (known) {
          known.leaving = known.leaving || member.state === 'leaving';
          known.slots = member.slots;
          known.load.slots = member.slots;
          known.address = member.address;
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
          load: { slots: member.slots, local: 0 },
        });
      });
    });
  }

  /** Advances every service's split to `now`. */
  tick(now: number): void {
    this.services.forEach((s) => s.tick(now));
  }

  /** Headroom per region for every service, for metrics and the demo's report. */
  headroom(now: number): Map<ServiceName, Map<RegionName, number>> {
    return new Map([...this.services].map(([name, s]) => [name, s.headroomByRegion(now)]));
  }
}
