/**
 * Two reference deployments at their current sizes: regions, failure domains,
 * services and their targets. The demo, the benchmarks and the tests create
 * target stand-ins and operators' documents from them.
 */
import type { DocumentInput } from './schema';

/** A deployed service: its number of targets, slots per target and typical behaviour. */
export interface ServiceLayout {
  name: string;
  idempotent: boolean;
  targets: number;
  slots: number;
  /** Typical processing time of one request on a warm target, in milliseconds. */
  serviceMs: number;
  /** Size of a response body in bytes; inspection bundles and briefings are large. */
  answerBytes: number;
  deadlineMs: number;
}

/** A deployment: its regions with their failure domains, and its services. */
export interface Layout {
  name: string;
  regions: { name: string; failureDomains: string[] }[];
  services: ServiceLayout[];
  /** One-way delay between regions, in milliseconds. */
  regionDelayMs: number;
}

/** Hraunvídd Viðhald: status lookups, visit bookings, inspection bundles. */
export const hraunvidd: Layout = {
  name: 'hraunvidd',
  regionDelayMs: 20,
  regions: [
    { name: 'reykjavik', failureDomains: ['rvk-a', 'rvk-b'] },
    { name: 'akureyri', failureDomains: ['aey-a', 'aey-b'] },
    { name: 'egilsstadir', failureDomains: ['egs-a', 'egs-b'] },
  ],
  services: [
    {
      name: 'stada',
      idempotent: true,
      targets: 16,
      slots: 9,
      serviceMs: 4,
      answerBytes: 600,
      deadlineMs: 1500,
    },
    {
      name: 'boka',
      idempotent: false,
      targets: 12,
      slots: 7,
      serviceMs: 15,
      answerBytes: 300,
      deadlineMs: 3000,
    },
    {
      name: 'skjalasafn',
      idempotent: true,
      targets: 12,
      slots: 3,
      serviceMs: 40,
      answerBytes: 256 * 1024,
      deadlineMs: 30000,
    },
  ],
};

/** Waitaha Regional Water and Power Authority: kiosk lookups, arrivals, briefings. */
export const waitaha: Layout = {
  name: 'waitaha',
  regionDelayMs: 12,
  regions: [
    { name: 'waikato', failureDomains: ['hamilton-a', 'hamilton-b'] },
    { name: 'canterbury', failureDomains: ['christchurch-a', 'christchurch-b'] },
    { name: 'otago', failureDomains: ['dunedin-a', 'dunedin-b'] },
  ],
  services: [
    {
      name: 'roster',
      idempotent: true,
      targets: 18,
      slots: 3,
      serviceMs: 4,
      answerBytes: 400,
      deadlineMs: 1000,
    },
    {
      name: 'gatebook',
      idempotent: false,
      targets: 12,
      slots: 3,
      serviceMs: 10,
      answerBytes: 200,
      deadlineMs: 2000,
    },
    {
      name: 'briefcase',
      idempotent: true,
      targets: 12,
      slots: 3,
      serviceMs: 30,
      answerBytes: 128 * 1024,
      deadlineMs: 20000,
    },
  ],
};

/** The built-in layouts by name. */
export const layouts: Readonly<Record<string, Layout>> = { hraunvidd, waitaha };

/** Region and failure domain of the target at `index`; targets are assigned round-robin. */
export const failureDomainOfTarget = (
  layout: Layout,
  index: number,
): { region: string; failureDomain: string } => {
  const domains = layout.regions.flatMap((r) =>
    r.failureDomains.map((fd) => ({ region: r.name, failureDomain: fd })),
  );
  return domains[index % domains.length];
};

/** Creates an operators' document for the layout, with equal shares for all regions. */
export const documentForLayout = (layout: Layout, revision = 1): DocumentInput => ({
  revision,
  regions: layout.regions.map((r) => ({
    name: r.name,
    failureDomains: r.failureDomains,
    reserve: 0.15,
  })),
  services: layout.services.map((s) => ({
    name: s.name,
    idempotent: s.idempotent,
    deadlineMs: s.deadlineMs,
    maxShiftPerMinute: 0.2,
    warmupSeconds: 10,
    shares: Object.fromEntries(layout.regions.map((r) => [r.name, 1])),
  })),
});
