import ModernError from 'modern-errors';

/** A broken invariant: a fault in deckwheel itself. The process must stop. */
export const InvariantError = ModernError.subclass('InvariantError');
