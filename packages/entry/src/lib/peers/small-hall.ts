/**
In a hall of up to this many hosts each draws for itself and follows the store itself: with so few,
one that asks for all saves few calls, and its death leaves the others without rights for a moment.
*/
export const smallHall = 4;
