/**
 * The objects that a target has been sent lately, so that it should remember
 * them and answer several times faster. What it really remembers is its own
 * affair: an object counts from the moment a request for it was sent, as the
 * target starts to load it then.
 */
import { LRUCache } from 'lru-cache';
import type { ObjectKey } from '@cardamomladder/types';

/** Most objects kept per target: 30 kB of keys each, 7 MB at 220 targets, and more than targets were seen to remember. */
const OBJECTS_KEPT = 512;

/** One target's objects. */
export class RememberedObjects {
  /** Made at the first object: most instances know hundreds of targets and send to few. */
  private objects: LRUCache<ObjectKey, true> | undefined;

  /** How many objects it was sent lately. */
  get size(): number {
    return this.objects?.size ?? 0;
  }

  /** True if the target was sent the object lately. */
  has(object: ObjectKey): boolean {
    return this.objects?.has(object) ?? false;
  }

  /** Notes that a request for the object was sent. */
  note(object: ObjectKey): void {
    this.objects ??= new LRUCache<ObjectKey, true>({ max: OBJECTS_KEPT });
    this.objects.set(object, true);
  }

  /** Takes a note back: the request did not run. */
  forget(object: ObjectKey): void {
    this.objects?.delete(object);
  }
}
