/**
 * Tracks the objects that a target has been sent recently and is therefore expected to
 * have cached, which makes its responses several times faster. The target's actual
 * cache is not visible. An object counts from the moment a request for it was sent,
 * because the target starts to load it then.
 */
import { LRUCache } from 'lru-cache';
import type { ObjectKey } from '@cardamomladder/types';

/**
 * Maximum number of objects tracked per target: 30 kB of keys each, 7 MB for 220
 * targets, and more objects than targets were observed to cache.
 */
const MAX_OBJECTS = 512;

/** The objects of one target. */
export class CachedObjects {
  /** Allocated at the first object: most instances know hundreds of targets and send to few. */
  private objects: LRUCache<ObjectKey, true> | undefined;

  /** Number of objects the target was sent recently. */
  get size(): number {
    return this.objects?.size ?? 0;
  }

  /** Returns true if the target was sent the object recently. */
  has(object: ObjectKey): boolean {
    return this.objects?.has(object) ?? false;
  }

  /** Records that a request for the object was sent. */
  add(object: ObjectKey): void {
    this.objects ??= new LRUCache<ObjectKey, true>({ max: MAX_OBJECTS });
    this.objects.set(object, true);
  }

  /** Removes an object whose request did not run. */
  delete(object: ObjectKey): void {
    this.objects?.delete(object);
  }
}
