/**
The largest number of hosts in a small hall. Each host of a small hall draws its own rights from the store and follows the store itself:
one host that did so for all would save few calls, and its crash would leave the others without rights for a moment.
*/
export const smallHall = 4;
