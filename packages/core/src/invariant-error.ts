import ModernError from 'modern-errors';

/** The error of a broken invariant: a bug in deckwheel itself. The process must stop. */
export const InvariantError = ModernError.subclass('InvariantError');
